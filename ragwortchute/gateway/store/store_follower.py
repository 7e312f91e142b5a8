"""Keeps the state of a host in sync with the store.

A follower reads all objects below a prefix, then watches for changes after the
revision that it has read, and reads all again if the store has dropped that
history. During an outage of the store, the last known state stays in force.
"""

import asyncio
from collections import abc as cabc
import math
import random

from ragwortchute import errors
from ragwortchute import progress
from ragwortchute import stores
from ragwortchute.gateway import eventlog
from ragwortchute.gateway.store import age_limit
from ragwortchute.gateway.store import confirming_reader
from ragwortchute.gateway.store import deferred_removals
from ragwortchute.gateway.store import interruptible
from ragwortchute.gateway.store import overdue_check
from ragwortchute.gateway.store import replica as replica_
from ragwortchute.gateway.store import source_choice
from ragwortchute.gateway.store import store_feed
from ragwortchute.gateway.store import store_health
from ragwortchute.gateway.store import unchanged_answers

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.4
# Wait for the own watch to return a revision that another host has named.
HINT_DELAY_S = 0.3
# An answer of which a part has come within this time is not given up: another
# source would send all of it again, on a link that may be slow.
ARRIVING_S = 0.25


class Follower:
    """Replicates the objects below one prefix.

    Args:
        sources: Returns the sources to read from, in order of preference.
        feed: Receives the objects and their changes.
        health: Availability of the store.
        log: Event log.
        rng: Random number generator for jitter.
        confirming: Returns the reader that confirms what the store returns.

    Attributes:
        prefix: Prefix of the objects.
        holds_configuration: Whether one of them is the configuration.
        replica: Replica of the objects.
    """

    def __init__(
        self,
        sources: cabc.Callable[[], list[source_choice.Source]],
        feed: store_feed.Feed,
        health: store_health.StoreHealth,
        log: eventlog.EventLog,
        rng: random.Random,
        confirming: confirming_reader.SourceCallback = (
            confirming_reader.no_reader
        ),
    ) -> None:
        self._sources = source_choice.SourceChoice(sources)
        self._feed = feed
        self._health = health
        self._log = log
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._wake = asyncio.Event()
        # Progress of the answer that is awaited.
        self._progress = progress.Progress()
        # Whether the store is asked without waiting for a change. If its answer
        # is late because many hosts ask, to ask anew makes it later.
        self._checks_store = False
        # The store while a watch of it waits for a change.
        self._watched: source_choice.Source | None = None
        self._filled = asyncio.Event()
        self._age_limit = age_limit.AgeLimit(lambda: feed.max_age_s)
        self._needs_full_read = True
        self._source_name = ''
        # Replicas in whose place others or the store are read.
        self._outdated_sources: set[str] = set()
        # Name of the source that has answered last.
        self._answered_by = ''
        # Whether the store has answered its last call.
        self._store_answered = False
        self._preferred_source: source_choice.Source | None = None
        self._reading_replica = False
        self._unchanged = unchanged_answers.UnchangedAnswers()
        self._seen_revision = 0
        self._newest_revision = 0
        self._behind_since_s = 0.0
        self.prefix = feed.prefix
        self.holds_configuration = feed.holds_configuration
        self.replica = replica_.Replica()
        self._confirming = confirming_reader.ConfirmingReader(
            lambda: confirming() if self._watched else None,
            feed,
            self.replica,
            self._note_confirmed,
        )
        self._overdue_check = overdue_check.OverdueCheck(
            feed,
            self.replica,
            lambda: self._watched,
            self._on_check_answer,
            self._request_full_read,
        )
        self._removals = deferred_removals.DeferredRemovals(
            feed, self.replica, health, log, self._request_full_read
        )

    @property
    def has_hint(self) -> bool:
        """Whether another host is known that can be read."""
        return self._preferred_source is not None

    @property
    def known_revision(self) -> int:
        """Revision above which changes that others know are missing here.

        Hosts may know the removal of an object by different revisions, so that
        a revision that this host has seen must count, unless all changes have
        an exact revision, as those of the configuration do.
        """
        if self.holds_configuration:
            return self.replica.revision
        return max(self.replica.revision, self._seen_revision)

    def behind_s(self) -> float:
        """Returns for how long a newer revision has been known, in seconds.

        It is 0 while this host has the newest revision that it knows of.
        """
        if self._newest_revision <= self.known_revision:
            return 0.0
        return self._loop.time() - self._behind_since_s

    def on_newer_revision(
        self, revision: int, source: source_choice.Source
    ) -> None:
        """Notes that a source has a newer revision.

        Args:
            revision: Revision of the last change that the source knows.
            source: The source; it is read next unless this host's own watch
                returns that revision within `HINT_DELAY_S`.
        """
        if not self.behind_s():
            self._behind_since_s = self._loop.time()
        self._newest_revision = max(self._newest_revision, revision)
        if not self.replica.revision:
            # This host has just started.
            if not (self._preferred_source or self._reading_replica):
                self._read_next(source)
        elif revision > self.known_revision:
            self._loop.call_later(
                HINT_DELAY_S, self._check_newer_revision, revision, source
            )

    async def run(self) -> None:
        """Replicates until cancelled.

        It begins with a full read, since an earlier run may have ended between
        a change of the replica and of what the feed updates.
        """
        self._needs_full_read = True
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read())
            if math.isfinite(self._feed.max_age_s):
                group.create_task(self._limit_age())
                group.create_task(self._overdue_check.run())
                group.create_task(self._confirming.run())

    async def _limit_age(self) -> None:
        """Reads another source if the replica is not confirmed in time.

        That is one that comes before the store, then the store, or another
        replica if the store does not answer.
        """
        await self._filled.wait()
        while True:
            now_s = self._loop.time()
            confirmed_s = self.replica.confirmed_s
            due_in_s = self._age_limit.due_in_s(confirmed_s, now_s)
            if self._is_arriving(now_s) or self._checks_store:
                due_in_s = max(due_in_s, ARRIVING_S)
            if due_in_s > 0:
                await asyncio.sleep(due_in_s)
                continue
            self._age_limit.note_check(confirmed_s, now_s)
            self._log.event(
                'replica-old',
                prefix=self.prefix,
                revision=self.replica.revision,
                age_s=round(now_s - confirmed_s, 2),
                source=self._source_name or 'store',
            )
            if self._source_name:
                # One call. The replica is read again after it, unless it fails:
                # its host may recover soon, and there may be hundreds of hosts.
                self._outdated_sources.add(self._source_name)
                source = self._sources.next_to_check(self._outdated_sources)
                if source.name:
                    self._outdated_sources.add(source.name)
                self._read_next(source)
            else:
                self._sources.note_failure(self._source_name)
                self._wake.set()

    def _is_arriving(self, now_s: float) -> bool:
        """Returns whether a part of a large answer has just arrived."""
        return now_s - self._progress.last_s < ARRIVING_S

    async def _read(self) -> None:
        """Reads the sources until cancelled."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            source = self._next_source()
            self._reading_replica = bool(source.name)
            self.replica.filling = not (source.name or self.replica.revision)
            try:
                if self._needs_full_read or self._lacks_versions(source):
                    await self._read_all(source)
                else:
                    await self._read_changes(source)
                backoff_s = FIRST_BACKOFF_S
            except errors.HistoryGone:
                self._log.event(
                    'history-gone',
                    prefix=self.prefix,
                    revision=self.replica.revision,
                    source=source.name,
                )
                # Read all objects, from the same source.
                self._needs_full_read = True
                self._preferred_source = source
            except errors.StoreError as exc:
                if self._may_ask_again(source, exc):
                    self._store_answered = False
                    self._health.record_failure(exc)
                    self._preferred_source = source
                    continue
                self._record_failure(source, exc)
                if not source.name:
                    jitter = 0.5 + self._rng.random()
                    await self._pause(backoff_s * jitter)
                    backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    def _lacks_versions(self, source: source_choice.Source) -> bool:
        """Returns whether a full read of the store is shorter than changes.

        Those contain each version of the configuration since the known one.
        """
        from_store = not source.name
        return from_store and self.holds_configuration and self.behind_s() > 0

    def _may_ask_again(
        self, source: source_choice.Source, exc: errors.StoreError
    ) -> bool:
        """Returns whether the store is asked again at once after a failure.

        A store that drops its history cuts the watches and answers the next
        call. If readers left it for that, hundreds of hosts would ask it.
        """
        return (
            not source.name
            and self._store_answered
            and isinstance(exc, errors.StoreUnavailable)
            and exc.connection_lost
        )

    async def _pause(self, delay_s: float) -> None:
        """Waits until the delay has passed or another source is known."""
        try:
            async with asyncio.timeout(delay_s):
                await self._wake.wait()
        except TimeoutError:
            return

    def _next_source(self) -> source_choice.Source:
        """Returns the source to read next and logs a change of source."""
        preferred, self._preferred_source = self._preferred_source, None
        source = preferred or self._sources.first_usable()
        if source.name != self._source_name:
            self._log.event(
                'source', prefix=self.prefix, source=source.name or 'store'
            )
            self._source_name = source.name
        return source

    def _record_failure(
        self, source: source_choice.Source, exc: errors.StoreError
    ) -> None:
        self._sources.note_failure(source.name)
        for name in self._outdated_sources:
            self._sources.note_failure(name)
        self._outdated_sources.clear()
        if source.name:
            self._log.event(
                'source-failed',
                prefix=self.prefix,
                source=source.name,
                error=str(exc),
            )
        else:
            self._store_answered = False
            self._health.record_failure(exc)

    def _check_newer_revision(
        self, revision: int, source: source_choice.Source
    ) -> None:
        if self._is_arriving(self._loop.time()):
            self._loop.call_later(
                ARRIVING_S, self._check_newer_revision, revision, source
            )
        elif revision > self.known_revision and not self._wake.is_set():
            self._log.event(
                'behind',
                prefix=self.prefix,
                revision=self.replica.revision,
                changed=revision,
                known_by=source.name or 'store',
            )
            if self._source_name:
                # It lacks the revision. The store, which may only be slow, is
                # read again after the other host.
                self._sources.note_failure(self._source_name)
            self._needs_full_read = (
                self._needs_full_read or not self._source_name
            )
            self._read_next(source)

    def _read_next(self, source: source_choice.Source) -> None:
        """Ends the current read or pause and reads a source next."""
        self._preferred_source = source
        self._wake.set()

    async def _read_all(self, source: source_choice.Source) -> None:
        asked_s = self._loop.time()
        # A stale answer could list a target that left before this host started.
        answer = await self._watch_until_woken(
            source.store.watch(
                self.prefix,
                after_revision=0,
                timeout_s=0,
                progress=self._begin_progress(),
            ),
        )
        if answer is None:
            return
        self._record_success(source, answer)
        self._needs_full_read = False
        if not source.name:
            answer = self._removals.filter(answer, full_read=True)
        changes = self.replica.replace(answer.objects, answer.revision)
        if changes is not None:
            self._feed.replace(list(answer.objects), answer.revision)
        self._note_confirmed(asked_s + answer.confirmed_after_s)

    async def _read_changes(self, source: source_choice.Source) -> None:
        asked_s = self._loop.time()
        wait_s = self._watch_timeout_s(source, asked_s)
        self._checks_store = not (source.name or wait_s)
        self._watched = None if source.name or not wait_s else source
        answer = await self._watch_until_woken(
            source.store.watch(
                self.prefix,
                after_revision=self.replica.revision,
                timeout_s=wait_s,
                progress=self._begin_progress(),
            ),
        )
        if answer is None:
            return
        self._record_success(source, answer)
        self._apply_changes(source, answer, asked_s)
        if not source.name and (answer.objects or answer.removed):
            await asyncio.sleep(self._feed.batch_delay_s)

    def _begin_progress(self) -> progress.Progress:
        """Returns the progress of an answer that is requested now."""
        self._progress = progress.Progress()
        return self._progress

    def _watch_timeout_s(
        self, source: source_choice.Source, now_s: float
    ) -> float:
        """Returns how long a watch of a source may wait, in seconds.

        A long watch that is sent to an unresponsive store would still be
        pending after the store has recovered. A host that has just become a
        reader does not know yet whether the store responds. Other watches of
        the store end a fixed time after the last confirmation, unless another
        reader confirms the replica meanwhile.
        """
        wait_s = self._feed.watch_timeout_s
        if source.name:
            return wait_s
        if self._health.down or self._answered_by != source.name:
            return 0.0
        if self._confirming.confirms():
            return max(wait_s, confirming_reader.LONG_WATCH_S)
        left_s = self.replica.confirmed_s + wait_s - now_s
        return min(wait_s, max(0.0, left_s))

    def _apply_changes(
        self,
        source: source_choice.Source,
        answer: stores.WatchAnswer,
        asked_s: float,
    ) -> None:
        """Applies the changes that a source has returned.

        Args:
            source: The source.
            answer: Its answer.
            asked_s: Loop time of the request in seconds.
        """
        confirmed_s = asked_s + answer.confirmed_after_s
        self._seen_revision = max(self._seen_revision, answer.revision)
        if source.name:
            self._unchanged.clear()
        else:
            answer = self._unchanged.reliable_answer(
                self._loop.time(), answer, self.replica.revision
            )
            answer = self._removals.filter(answer, full_read=False)
        if self.replica.apply(answer):
            for obj in answer.objects:
                self._feed.put(obj, obj.version)
            for name in answer.removed:
                self._feed.remove(name, answer.revision)
        self._note_confirmed(confirmed_s)

    def _on_check_answer(
        self,
        source: source_choice.Source,
        answer: stores.WatchAnswer,
        asked_s: float,
    ) -> None:
        """Applies the answer to a check while a watch is waiting."""
        self._record_success(source, answer)
        self._apply_changes(source, answer, asked_s)
        # A host that has since turned to another host may return to the store.
        self._sources.note_success(source.name)
        arriving = self._is_arriving(self._loop.time())
        if self._watched is source or (self._source_name and not arriving):
            self._wake.set()

    def _note_confirmed(self, confirmed_s: float) -> None:
        """Notes until when the store is known to have had no later change."""
        self.replica.confirm(min(confirmed_s, self._loop.time()))
        self._feed.confirm(self.replica.confirmed_s)
        if self._loop.time() - self.replica.confirmed_s < self._feed.max_age_s:
            self._outdated_sources.clear()
        self._filled.set()

    async def _watch_until_woken(
        self, coro: cabc.Coroutine[object, object, stores.WatchAnswer]
    ) -> stores.WatchAnswer | None:
        """Waits for an answer, at most until another source is to be read.

        Returns:
            The answer; None if another source is to be read instead.

        Raises:
            StoreError: The source has no valid answer.
        """
        self._wake.clear()
        try:
            return await interruptible.result_unless_set(coro, self._wake)
        finally:
            self._progress = progress.Progress()
            self._checks_store = False
            self._watched = None

    def _request_full_read(self) -> None:
        self._needs_full_read = True
        self._wake.set()

    def _record_success(
        self, source: source_choice.Source, answer: stores.WatchAnswer
    ) -> None:
        self._answered_by = source.name
        if source.name:
            return
        self._store_answered = True
        self._health.record_success()
        if answer.revision < self._newest_revision:
            # The store has the last word on its revision.
            self._log.event(
                'revision-unknown',
                prefix=self.prefix,
                revision=answer.revision,
                claimed=self._newest_revision,
            )
            self._newest_revision = answer.revision
