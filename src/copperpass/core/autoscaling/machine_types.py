"""The cloud's machine types, fetched by every member and stored once by a leader."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from copperpass.core.election.leader_election import LeaderElection
from copperpass.core.kvstore.keys import FENCING_TOKEN_KEY, MACHINE_TYPES_KEY
from copperpass.core.kvstore.operations import Operation, Priority, TransactionOutcome
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.ports import Call, CallOutcome, ExternalService, Outbox
from copperpass.protocol.cloud import MACHINE_TYPES_PATH, MachineType, MachineTypes
from copperpass.protocol.json_codec import decode, encode
from copperpass.protocol.kvstore import PutKey

# Only a leader needs prices that follow the market, so only a leader refreshes them often.
LEADER_REFRESH_S, REFRESH_S = 30.0, 300.0
FETCH_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CatalogContext:
    """Dependencies of a `MachineTypeCatalog`; `on_change` is called after each update."""

    election: LeaderElection
    transactions: TransactionQueue
    outbox: Outbox
    rng: random.Random
    max_value_bytes: float
    on_change: Callable[[], None]


class MachineTypeCatalog:
    """Machine types by name.

    Types that the cloud no longer offers are kept: machines of these types may still run.
    """

    def __init__(self, context: CatalogContext) -> None:
        self.context = context
        self.types: dict[str, MachineType] = {}
        self._next_fetch_at = 0.0
        self._fetching = False
        self._stored = False
        # The types exceed the store's value limit: starting members get them from the cloud only.
        self._too_large = False

    def on_watch_event(self, value: bytes) -> None:
        """Use the stored types if none are known, so that a starting member need not wait."""
        offered_types = decode(value, MachineTypes)
        self._stored = bool(value)
        if offered_types is not None and not self.types:
            self._update_types(offered_types)

    def tick(self, now: float) -> None:
        """Fetch the types when they are due."""
        context = self.context
        storable = not self._stored and not self._too_large
        if context.election.is_leader and storable and self.types:
            # Fetch again soon: the first leader stores the types when a fetch completes.
            self._next_fetch_at = min(self._next_fetch_at, now + context.election.leader_ttl_s)
        if not self._fetching and now >= self._next_fetch_at:
            self._fetching = True
            context.outbox.calls.append(
                Call(
                    ExternalService.CLOUD,
                    "GET",
                    MACHINE_TYPES_PATH,
                    self._on_fetched,
                    b"",
                    FETCH_TIMEOUT_S,
                )
            )

    def _on_fetched(self, now: float, outcome: CallOutcome) -> None:
        self._fetching = False
        offered_types = decode(outcome.body, MachineTypes) if outcome.status == 200 else None
        if offered_types is None:
            self._next_fetch_at = now + 1.0 + self.context.rng.random()
            return
        self._update_types(offered_types)
        self._store(now, offered_types)
        refresh_s = LEADER_REFRESH_S if self.context.election.is_leader else REFRESH_S
        self._next_fetch_at = now + refresh_s

    def _update_types(self, offered_types: MachineTypes) -> None:
        self.types.update({machine_type.name: machine_type for machine_type in offered_types.types})
        self.context.on_change()

    def _store(self, now: float, offered_types: MachineTypes) -> None:
        context = self.context
        if not context.election.is_leader or self._stored:
            return
        if len(encode(offered_types)) > context.max_value_bytes:
            self._too_large = True
            return

        def on_done(done_at: float, outcome: TransactionOutcome, revision: int) -> None:
            self._too_large = self._too_large or outcome is TransactionOutcome.INVALID

        # The guard on version 0 lets the key be written only once: a delayed copy of the write must
        # not restore older types.
        guards = {FENCING_TOKEN_KEY: context.election.election_revision, MACHINE_TYPES_KEY: 0}
        write = PutKey(MACHINE_TYPES_KEY, msgspec.to_builtins(offered_types))
        deadline = now + context.election.leader_ttl_s
        context.transactions.submit(
            now, Operation(guards, [write], on_done, deadline, Priority.BATCHED)
        )
