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
    """A key must not be bound to an origin that the deployment didn't name."""

    async def test_content_survives_and_expires(self, clock):
        mint = tokens.TokenMint(KEY, clock, 120.0)
        text = mint.mint(fakes.make_member('a'))
        token = mint.parse(text).unwrap()
        assert token.origin == ('a', fakes.make_member('a').incarnation)
        assert not mint.expired(token)
        await clock.advance(120.0)
        assert mint.expired(mint.parse(text).unwrap())

    def test_tokens_of_one_instant_differ(self, clock):
        # A refused key runs again only under a token that is not the same.
        mint = tokens.TokenMint(KEY, clock, 120.0)
        member = fakes.make_member('a')
        ids = {
            mint.parse(mint.mint(member)).unwrap().token_id for _ in range(99)
        }
        assert len(ids) == 99

    def test_token_of_another_deployment_is_foreign(self, clock):
        text = tokens.TokenMint('another-key-altogether', clock, 120.0).mint(
            fakes.make_member('a')
        )
        parsed = tokens.TokenMint(KEY, clock, 120.0).parse(text)
        assert parsed == result.Failure(tokens.TokenFault.FOREIGN)

    def test_every_changed_character_is_noticed(self, clock):
        mint = tokens.TokenMint(KEY, clock, 120.0)
        text = mint.mint(fakes.make_member('a'))
        for i in range(len(text)):
            other = 'A' if text[i] != 'A' else 'B'
            parsed = mint.parse(text[:i] + other + text[i + 1 :])
            # The last character may carry bits that are not decoded.
            same = result.Success(mint.parse(text).unwrap())
            assert isinstance(parsed, result.Failure) or (
                parsed == same and i == len(text) - 1
            )

    @pytest.mark.parametrize('text', ['x', 'o1.', 'o1.é', 'o1.' + 'A' * 600])
    def test_other_text_is_refused(self, clock, text):
        parsed = tokens.TokenMint(KEY, clock, 120.0).parse(text)
        assert isinstance(parsed, result.Failure)

    def test_size_is_bounded(self, clock):
        mint = tokens.TokenMint(KEY, clock, 120.0)
        text = mint.mint(fakes.make_member('h' * 96, 'r' * 90))
        assert len(text) <= tokens.MAX_TOKEN_CHARS
        with pytest.raises(errors.PeerError, match='96 bytes'):
            mint.mint(fakes.make_member('h' * 97))
