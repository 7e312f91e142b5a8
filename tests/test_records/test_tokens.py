"""Tests of origin tokens."""

import pytest
from returns import result

from ragwortchute import clock as clock_lib
from ragwortchute import errors
from ragwortchute.records import tokens
from tests import fakes

KEY = 'a-key-of-the-deployment'


@pytest.fixture
def clock():
    return clock_lib.ManualClock()


class TestTokenMint:
    """A key must be bound only to an origin that the deployment issued."""

    async def test_content_round_trips_and_expires(self, clock):
        """Guards against a token that names another origin or never expires."""
        mint = tokens.TokenMint(KEY, clock, 120.0)
        text = mint.mint(fakes.make_member('a'))
        token = mint.parse(text).unwrap()
        assert token.origin == ('a', fakes.make_member('a').incarnation)
        assert not mint.expired(token)
        await clock.advance(120.0)
        assert mint.expired(mint.parse(text).unwrap())

    def test_tokens_issued_at_one_instant_differ(self, clock):
        # A refused key may run again, but only under a different token.
        mint = tokens.TokenMint(KEY, clock, 120.0)
        member = fakes.make_member('a')
        ids = {
            mint.parse(mint.mint(member)).unwrap().token_id for _ in range(99)
        }
        assert len(ids) == 99

    def test_token_of_another_deployment_is_foreign(self, clock):
        """Guards against accepting a token signed with another key."""
        text = tokens.TokenMint('another-key-altogether', clock, 120.0).mint(
            fakes.make_member('a')
        )
        parsed = tokens.TokenMint(KEY, clock, 120.0).parse(text)
        assert parsed == result.Failure(tokens.TokenFault.FOREIGN)

    def test_changed_character_is_detected(self, clock):
        """Guards against a forged or corrupted token that is accepted."""
        mint = tokens.TokenMint(KEY, clock, 120.0)
        text = mint.mint(fakes.make_member('a'))
        for i in range(len(text)):
            changed = 'A' if text[i] != 'A' else 'B'
            parsed = mint.parse(text[:i] + changed + text[i + 1 :])
            # The last character may contain bits that are not decoded.
            unchanged = result.Success(mint.parse(text).unwrap())
            assert isinstance(parsed, result.Failure) or (
                parsed == unchanged and i == len(text) - 1
            )

    @pytest.mark.parametrize('text', ['x', 'o1.', 'o1.é', 'o1.' + 'A' * 600])
    def test_malformed_text_is_rejected(self, clock, text):
        """Guards against an exception on text that is not a token."""
        parsed = tokens.TokenMint(KEY, clock, 120.0).parse(text)
        assert isinstance(parsed, result.Failure)

    def test_length_is_bounded(self, clock):
        """Guards against issuing a token that is too long to be parsed."""
        mint = tokens.TokenMint(KEY, clock, 120.0)
        text = mint.mint(fakes.make_member('h' * 96, 'r' * 90))
        assert len(text) <= tokens.MAX_TOKEN_CHARS
        with pytest.raises(errors.PeerError, match='96 bytes'):
            mint.mint(fakes.make_member('h' * 97))
