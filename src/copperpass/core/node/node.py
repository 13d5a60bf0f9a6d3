"""One controller: the state machine that the reactor side feeds and drains."""

from __future__ import annotations

import random

import msgspec

from copperpass.core.api.user_api import UserApi
from copperpass.core.autoscaling.cluster_manager import ClusterManager, ManagerContext
from copperpass.core.autoscaling.machine_groups import longest_boot
from copperpass.core.election.context import ElectionContext
from copperpass.core.election.leader_election import LeaderElection
from copperpass.core.election.timings import GRANT_TTL_RATIO, election_timings
from copperpass.core.jobs.job_table import LEAST_KNOWN_CANCELLED, JobTable
from copperpass.core.kvstore.keys import (
    COMPLETIONS_PREFIX,
    FENCING_TOKEN_KEY,
    LEADER_KEY,
    LIVE_JOBS_PREFIX,
    MACHINE_TYPES_KEY,
)
from copperpass.core.kvstore.operations import Operation, Priority, TransactionOutcome
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.kvstore.watch_cache import WatchCache
from copperpass.core.membership.version_registry import VersionRegistry
from copperpass.core.ports import Call, CallOutcome, Outbox, Reply
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.shard_scheduler import ShardScheduler
from copperpass.core.shards.grant_client import BATCH, GrantClient
from copperpass.core.shards.relay import HeartbeatRelay
from copperpass.core.storage.machine_inventory import CachedInventory
from copperpass.log_events import StepDownReason
from copperpass.protocol.cloud import MACHINE_TYPES_PATH, MachineType, MachineTypes
from copperpass.protocol.frames.messages import (
    MAX_SHARDS,
    NEVER_ANSWERED,
    CapacityRequests,
    Frame,
    Grant,
    GrantRequest,
    JobCancelled,
    MachineStatusUpdates,
    MemberHeartbeat,
    RelayedAnswer,
    RelayedHeartbeat,
    RouteUpdates,
    RunningCounts,
    ShardAssignment,
    ZoneAffinities,
)
from copperpass.protocol.json_codec import decode, encode, error_body
from copperpass.protocol.kvstore import PutKey
from copperpass.protocol.workers import WorkerHeartbeat, redirect_body
from copperpass.settings import Cluster, Settings
from copperpass.tuning import Tuning


def shards_of(cluster: Cluster, tuning: Tuning) -> dict[str, int]:
    """The shard of each team: one each, or one for all where a controller can carry them.

    Partitioning costs room, since a machine serves one shard at a time; it pays where the teams'
    guarantees are more than one controller's processor should command.
    """
    guaranteed = sum(team.cpus for team in cluster.teams)
    partitioned = guaranteed > tuning.part_cpus_per_core * cluster.resources.cores
    if not partitioned:
        return {team.name: 0 for team in cluster.teams}
    return {team.name: number % MAX_SHARDS for number, team in enumerate(cluster.teams)}


class Node:
    """Takes inputs; leaves calls, replies and log lines in its outbox."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        now: float,
        tuning: Tuning | None = None,
        day: float = 0.0,
    ) -> None:
        cluster = settings.cluster
        self.settings, self.cluster = settings, cluster
        self.rng = random.Random(seed)
        self.tuning = tuning or Tuning()
        self.out = Outbox()
        self.timings = election_timings(cluster)
        timeout = self.timings.leader_ttl_s / 3
        state = cluster.state
        self.transactions = TransactionQueue(
            self.out, state.least_write_rps, state.least_txn_ops, timeout
        )
        self.user_api = UserApi(cluster, self.out, self.transactions, 1.6, day)
        self.user_api.counts = self.counts_of
        self.user_api.announce_cancelled = self._announce_cancelled
        cancelled = max(LEAST_KNOWN_CANCELLED, cluster.changes_per_cancellation_span)
        self.jobs = JobTable(day=day, most_cancelled=cancelled)
        self.cached_inventory = CachedInventory()
        # Of the records of ends.
        self.versions: dict[str, int] = {}
        self.shards = shards_of(cluster, self.tuning)
        partitioned = len(set(self.shards.values())) > 1
        self.election = LeaderElection(
            ElectionContext(
                member=settings.name,
                peers=[m.name for m in settings.members],
                timings=self.timings,
                out=self.out,
                transactions=self.transactions,
                rng=self.rng,
                on_change=self._on_leadership_change,
                consistent_at=lambda: self.watch_cache.consistent_at,
                max_grant_s=GRANT_TTL_RATIO * self.timings.leader_ttl_s if partitioned else 0.0,
            ),
            now,
        )
        self.version_registry = VersionRegistry(
            settings.name,
            [m.name for m in settings.members],
            self.out,
            self.transactions,
            self.timings.leader_ttl_s,
            timeout,
        )
        self.relay = HeartbeatRelay(self.out, cluster.workers.lease_s, cluster.workers.report_s)
        self.watch_cache = WatchCache(
            self.out, self._on_watch_event, self.timings.leader_ttl_s / 2, timeout
        )
        self.now = now
        # How fresh the views of the others are, by their beats.
        self.peer_state: dict[str, float] = {}
        self.peer_heard: dict[str, float] = {}
        self.alone_token = -1
        self.peer_counts: dict[str, dict[str, int]] = {}
        self.next_beat = now
        self.next_counts = now
        self.grant_client = GrantClient(
            settings.name,
            self.rng.getrandbits(62) + 1,
            self.timings.leader_ttl_s,
            cluster.workers.report_s / 4,
            self.out,
            self._make_owner,
            self.election.watch_cache_valid_until,
            self.is_upgraded,
        )
        self.cluster_manager: ClusterManager | None = None
        self.types: dict[str, MachineType] = {}
        self.next_types = 0.0
        self.fetching_types = False
        self.stored_types = b""
        # An offer that no value can hold: nodes take theirs from the cloud then.
        self.types_too_large = False

    # -- inputs ------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """The passing of time; to be called many times a second."""
        self.now = now
        self.watch_cache.tick(now)
        self.relay.tick(now)
        if self.watch_cache.synced:
            self.election.records_synced = True
        self.election.tick(now)
        self.transactions.pump(now)
        self.version_registry.tick(now)
        wanted = not self.stored_types and not self.types_too_large
        if self.cluster_manager is not None and wanted and self.types:
            # Refetch at once so that the first leader stores the offer.
            self.next_types = min(self.next_types, now + self.timings.leader_ttl_s)
        if not self.fetching_types and now >= self.next_types:
            self._fetch_types(now)
        self._mind_leader(now)
        cluster_manager = self.cluster_manager
        if cluster_manager is not None:
            if (
                not cluster_manager.ready
                and self.watch_cache.revision >= self.election.election_revision
                and (self.types)
            ):
                cluster_manager.begin(now)
            cluster_manager.tick(now)
            self._feed_grantees(cluster_manager)
        # An owner whose view falls behind that of others stops asking: its grant ends, and the
        # leader gives the shard to somebody who can see, long before the bound on its view.
        self.grant_client.asking = not self._behind()
        self.grant_client.tick(now, self.watch_cache.revision)
        if self.cluster_manager is not None:
            self._mind_isolation(now, self.cluster_manager)
        if now >= self.next_beat:
            self._beat(now)

    def _mind_leader(self, now: float) -> None:
        """Follow whoever leads."""
        lead = self.election.leader
        if self.cluster_manager is None and lead is not None and lead.member != self.settings.name:
            self.grant_client.follow(lead.member, lead.token)

    def _feed_grantees(self, cluster_manager: ClusterManager) -> None:
        """Send the members what is new in the leader's table."""
        for member, grantee in cluster_manager.grantees.items():
            feed = grantee.feed
            while feed is not None and feed.sent < cluster_manager.table.sequence:
                before, upto, entries = feed.next(BATCH)
                self.out.send(
                    member,
                    RouteUpdates(
                        cluster_manager.epoch, grantee.incarnation, before, upto, tuple(entries)
                    ),
                )

    def on_frame(self, now: float, sender: str, frame: Frame) -> None:
        """A frame from another controller."""
        self.peer_heard[sender] = now
        if isinstance(frame, MemberHeartbeat):
            if frame.state_age_ms != NEVER_ANSWERED:
                self.peer_state[sender] = now - frame.state_age_ms / 1000
        elif isinstance(frame, RunningCounts):
            self.peer_counts[sender] = frame.running
        elif isinstance(frame, RelayedHeartbeat):
            heartbeat = decode(frame.body, WorkerHeartbeat)
            if heartbeat is not None:
                status, body = self._answer(now, heartbeat, True)
                self.out.send(sender, RelayedAnswer(frame.number, status, body))
        elif isinstance(frame, ZoneAffinities):
            if self.cluster_manager is not None and frame.epoch == self.cluster_manager.epoch:
                self.cluster_manager.tied(frame)
        elif isinstance(frame, JobCancelled):
            self._job_cancelled(now, frame.job)
        elif isinstance(frame, RelayedAnswer):
            self.relay.answered(frame)
        elif isinstance(frame, GrantRequest):
            grant = (
                self.cluster_manager.pulled(now, sender, frame) if self.cluster_manager else None
            )
            if grant is not None:
                self.out.send(sender, grant)
        elif isinstance(frame, Grant):
            self.grant_client.granted(now, sender, frame)
        elif isinstance(frame, RouteUpdates):
            self.grant_client.entries(now, sender, frame)
        elif isinstance(frame, MachineStatusUpdates):
            self._told(now, sender, frame)
        elif isinstance(frame, CapacityRequests):
            if self.cluster_manager is not None and frame.epoch == self.cluster_manager.epoch:
                self.cluster_manager.asked(now, frame)
        else:
            self.election.on_frame(now, sender, frame)

    def worker_heartbeat(self, now: float, request: object, body: bytes) -> None:
        """POST /v1/report."""
        heartbeat = decode(body, WorkerHeartbeat)
        if heartbeat is None:
            self.out.replies.append(Reply(request, 400, error_body("malformed report")))
            return
        grant_client, name = self.grant_client, heartbeat.machine
        owner = grant_client.owner_of(name)
        if owner == self.settings.name:
            self.out.replies.append(Reply(request, *self._answer(now, heartbeat, False)))
            return
        if owner is None:
            owner = self._unowned(now, heartbeat)
            if owner == self.settings.name and self.cluster_manager is not None:
                self.out.replies.append(Reply(request, *self._answer(now, heartbeat, False)))
                return
        linked = owner is not None and self._linked(now, owner)
        if owner is not None and linked and self.relay.should_relay(now, name):
            self.relay.relay_heartbeat(now, request, body, owner)
            return
        if owner is not None and not linked:
            # The worker would hardly fare better: another member may reach the owner.
            owner = next(
                (m for m in self.election.peers if m != owner and self._linked(now, m)), None
            )
        self.out.replies.append(Reply(request, 421, redirect_body(owner)))

    def _linked(self, now: float, member: str) -> bool:
        """Whether a member's beats, four in a promise's length, come in."""
        return now - self.peer_heard.get(member, float("-inf")) < self.timings.vote_s

    def _unowned(self, now: float, heartbeat: WorkerHeartbeat) -> str | None:
        """Where a machine should go that nobody is known to command."""
        if self.cluster_manager is not None:
            if not self.cluster_manager.ready or not self.election.has_authority(now):
                return None
            self.cluster_manager.unowned(now, heartbeat)
            self.grant_client.refresh(now)
            return self.grant_client.owner_of(heartbeat.machine)
        leader = self.election.leader_name()
        return leader if leader != self.settings.name else None

    def _answer(self, now: float, heartbeat: WorkerHeartbeat, handed: bool) -> tuple[int, bytes]:
        """What this node itself answers a report with."""
        entry = self.grant_client.directory.get(heartbeat.machine)
        owner = self.grant_client.schedulers.get(entry.shard) if entry is not None else None
        if owner is None or not self.grant_client.has_authority(now):
            if self.cluster_manager is not None and entry is None and handed:
                self._unowned(now, heartbeat)
            return 421, redirect_body(None)
        answer = owner.worker_heartbeat(now, heartbeat, handed)
        if answer is None:
            return 503, error_body("not commanded here")
        return 200, encode(answer)

    def _told(self, now: float, sender: str, frame: MachineStatusUpdates) -> None:
        cluster_manager = self.cluster_manager
        if cluster_manager is None or frame.epoch != cluster_manager.epoch:
            return
        grantee = cluster_manager.grantees.get(sender)
        if grantee is None or grantee.incarnation != frame.incarnation:
            return
        if grantee.inbox.takes(frame.before, frame.upto):
            cluster_manager.told(now, sender, frame.statuses)

    @property
    def schedulers(self) -> list[ShardScheduler]:
        """The shards that this node owns."""
        return list(self.grant_client.schedulers.values())

    def healthy(self, now: float) -> bool:
        """Whether this node can take requests now."""
        if not self.types or not self.watch_cache.synced:
            return False
        # In an outage all nodes are alike, and leaving would only delay the return. A node that
        # is refused alone, while others are served, should take no requests.
        return not self._behind()

    def _behind(self) -> bool:
        """Whether another node's view is well fresher than this one's."""
        latest = max(self.peer_state.values(), default=float("-inf"))
        return latest - self.watch_cache.consistent_at > self.timings.leader_ttl_s

    def _announce_cancelled(self, now: float, job_id: str) -> None:
        """A cancellation is stored: whoever runs the job's tasks should hear of it at once.

        A hint beside the watch, which may be late by as much as the bound on the view: it spares
        starts after a confirmed cancellation, and proves nothing about what users are told.
        """
        self._job_cancelled(now, job_id)
        for other in self.election.peers:
            if self.is_upgraded(other):
                self.out.send(other, JobCancelled(job_id))

    def _job_cancelled(self, now: float, job_id: str) -> None:
        job = self.jobs.mark_cancelled(job_id)
        if job is not None:
            for owner in self.schedulers:
                owner.mark_cancelled(now, job)

    def is_upgraded(self, member: str) -> bool:
        """Whether a member is certainly of this version or a later one.

        A frame or field that older versions don't know goes to no other member: an older one
        closes the link on a frame that it can't read.
        """
        return self.version_registry.is_upgraded(member)

    def counts_of(self, job_id: str) -> tuple[int, int]:
        """How many tasks of a job are done and run, as far as this node knows; for display."""
        job = self.jobs.jobs.get(job_id)
        if job is None:
            return 0, 0
        if self.shards.get(job.spec.team, 0) in self.grant_client.schedulers:
            return job.done_count, job.shown()
        told = (counts.get(job_id, 0) for counts in self.peer_counts.values())
        return job.done_count, max(told, default=0)

    # -- what happens inside -------------------------------------------------------------

    def _on_watch_event(self, now: float, key: str, raw: bytes | None, version: int) -> None:
        if key in (LEADER_KEY, FENCING_TOKEN_KEY):
            self.election.on_watch_event(now, key, raw, version)
        elif key == MACHINE_TYPES_KEY and raw is not None:
            # A node that has just started can judge submissions and command workers before
            # the cloud has answered it.
            offer = decode(raw, MachineTypes)
            self.stored_types = raw
            if offer is not None and not self.types:
                self._use_types(offer)
        elif key.startswith(LIVE_JOBS_PREFIX):
            job, over = self.jobs.saw(now, key, raw, version)
            if raw is None:
                self.user_api.note_removed(key[len(LIVE_JOBS_PREFIX) :])
            for owner in self.schedulers:
                if over and job is not None:
                    owner.job_ended(now, job)
                owner.dirty = True
        elif key.startswith(COMPLETIONS_PREFIX):
            self.jobs.saw_completions(key, raw)
            self.versions[key] = version if raw is not None else 0
        elif (
            self.cached_inventory.on_watch_event(key, raw, version)
            and self.cluster_manager is not None
        ):
            self.cluster_manager.on_inventory_event(self.cached_inventory, key, version)

    def _on_leadership_change(self, now: float, is_leader: bool, continued: bool) -> None:
        before = self.cluster_manager
        if is_leader and continued and before is not None and len(before.shards) == 1:
            # Nobody else can have commanded in between: the term goes on under a higher counter.
            return
        if not is_leader:
            self.cluster_manager = None
            self.grant_client.leave()
            return
        grant_client = self.grant_client
        hints = {**grant_client.hints, **grant_client.directory}
        owned = {
            **grant_client.owned_before,
            **{n: s.member for n, s in grant_client.shares.items()},
        }
        context = ManagerContext(
            cluster=self.cluster,
            tuning=self.tuning,
            out=self.out,
            transactions=self.transactions,
            election=self.election,
            jobs=self.jobs,
            types=self.types,
            cached_inventory=self.cached_inventory,
            shards=self.shards,
            hints=hints,
            owners=owned,
            incarnation=grant_client.incarnation,
            linked=self._linked,
            all_upgraded=self.version_registry.all_upgraded,
        )
        self.cluster_manager = ClusterManager(context, now)
        if continued and before is not None:
            # Members follow the new token, so they need a term under it. The grants of the term
            # before have not ended with an authority that goes on: they are waited out.
            self.cluster_manager.wait_out(before)
        grant_client.lead(self.cluster_manager)

    def _make_owner(self, share: ShardAssignment) -> ShardScheduler:
        grant_client = self.grant_client
        context = SchedulerContext(
            cluster=self.cluster,
            out=self.out,
            transactions=self.transactions,
            jobs=self.jobs,
            types=self.types,
            versions=self.versions,
            shard=share.shard,
            shards=self.shards,
            epoch=grant_client.epoch,
            serial=share.serial,
            token_version=lambda: grant_client.token_version,
            has_authority=grant_client.has_authority,
            tuning=self.tuning,
            images=grant_client.images,
            consistent_at=lambda: self.watch_cache.consistent_at,
        )
        return ShardScheduler(context, revision=share.revision, now=self.now)

    def _mind_isolation(self, now: float, cluster_manager: ClusterManager) -> None:
        """Step down when neither workers nor other controllers can be heard.

        While another controller can be heard, workers that have lost their way are handed on by it.
        With the last machine dead no node hears a worker: to step down then would only pass the
        authority round. So it is done once, and again only after somebody else has led.
        """
        up = any(h.status.up or h.entry.recorded for h in cluster_manager.machines.values())
        heard = max(
            [cluster_manager.won_at, *(owner.last_heartbeat_at for owner in self.schedulers)]
        )
        alone = not any(now - at < self.timings.leader_ttl_s for at in self.peer_heard.values())
        if (
            up
            and alone
            and now - heard > max(2.5 * self.cluster.workers.report_s, self.timings.leader_ttl_s)
            and (self.election.peers and self.alone_token != self.election.token - 1)
        ):
            self.alone_token = self.election.token
            self.election.step_down(
                now, StepDownReason.NO_WORKER_HEARTBEATS, self.cluster.workers.lease_s
            )
        if self._behind():
            # The state service refuses this node alone, or its watch is stuck while its key is
            # still renewed: another sees more and can lead.
            self.election.step_down(
                now, StepDownReason.WATCH_CACHE_BEHIND, self.timings.leader_ttl_s
            )

    def _beat(self, now: float) -> None:
        self.next_beat = now + self.timings.vote_s / 4

        def age(at: float) -> int:
            return min(NEVER_ANSWERED - 1, int((now - at) * 1000)) if at > 0 else NEVER_ANSWERED

        # How fresh the view is: every answered request would say less of what this node can see.
        beat = MemberHeartbeat(self.election.counter.token, age(self.watch_cache.consistent_at))
        for other in self.election.peers:
            self.out.send(other, beat)
        if self.schedulers and now >= self.next_counts:
            self.next_counts = now + 1.0
            counts = {
                j: job.shown()
                for j, job in self.jobs.jobs.items()
                if job.shown() and self.shards.get(job.spec.team, 0) in self.grant_client.schedulers
            }
            for other in self.election.peers:
                self.out.send(other, RunningCounts(counts))

    def _fetch_types(self, now: float) -> None:
        self.fetching_types = True

        def on_done(n: float, outcome: CallOutcome) -> None:
            self.fetching_types = False
            offer = decode(outcome.body, MachineTypes) if outcome.status == 200 else None
            if offer is None:
                self.next_types = n + 1.0 + self.rng.random()
                return
            self._use_types(offer)
            self._store_types(n, offer)
            # Only the leader needs prices that follow the market.
            self.next_types = n + (30.0 if self.cluster_manager is not None else 300.0)

        self.out.calls.append(Call("cloud", "GET", MACHINE_TYPES_PATH, on_done, b"", 3.0))

    def _use_types(self, offer: MachineTypes) -> None:
        self.types.update({t.name: t for t in offer.types})
        self.user_api.types = self.types
        longest = longest_boot(self.types)
        for owner in self.schedulers:
            owner.timing.boot_s = longest
        if self.cluster_manager is not None:
            self.cluster_manager.boot_s = longest

    def _store_types(self, now: float, offer: MachineTypes) -> None:
        if self.cluster_manager is None or len(self.stored_types) > 0:
            return
        if len(encode(offer)) > self.cluster.state.least_value_bytes:
            self.types_too_large = True
            return

        def on_done(n: float, outcome: TransactionOutcome, revision: int) -> None:
            self.types_too_large = self.types_too_large or outcome is TransactionOutcome.INVALID

        self.transactions.submit(
            now,
            # Written once: a late copy must not bring an older offer back.
            Operation(
                {FENCING_TOKEN_KEY: self.election.election_revision, MACHINE_TYPES_KEY: 0},
                [PutKey(MACHINE_TYPES_KEY, msgspec.to_builtins(offer))],
                on_done,
                now + self.timings.leader_ttl_s,
                Priority.BATCHED,
            ),
        )
