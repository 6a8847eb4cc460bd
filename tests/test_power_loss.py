"""Test a host's data folder under random histories that end in kills and power losses.

Each history has several lives of the process. Each life opens the folder, checks it, changes it and
ends at a random file call, also while it opens. CI runs a few seeds. To run more of them:

    EBONYWHEEL_POWER_HISTORIES=5000 EBONYWHEEL_POWER_SEED=7 scripts/test tests/test_power_loss.py
"""

import collections
import os
import random

import curio
import pytest

from ebonywheel import auditlog, exceptions, messages, statedata, storage
from powerdisk import PowerDisks, PowerLoss

HISTORIES = int(os.environ.get("EBONYWHEEL_POWER_HISTORIES", "200"))
SEED = int(os.environ.get("EBONYWHEEL_POWER_SEED", "1"))
HOST = "control-1"
MAX_LIVES = 6
MAX_STEPS = 60


class StateModel:
    """Holds the audit entries, as the replicated state does."""

    def __init__(self):
        self.data = statedata.StateData()


async def run_directly(function, *arguments):
    return function(*arguments)


class History:
    """One data folder, what a host was told about it, and what may be in it.

    Attributes:
        log: Term and data of every entry from index 1 on; the data is None if only a snapshot
            brought the entry.
        synced: Index up to which the log was acknowledged as durable.
        snapshots: Position and state of the snapshots that may be in the folder; the first one or
            a later one is.
        replaced_log: The log after the second snapshot if that one conflicts with the log.
        votes: Votes that may be in the folder: the acknowledged one and later attempts.
        formed: First configurations that may be in the folder, likewise.
        commits: Commit positions that were saved, or were to be.
    """

    def __init__(self, folder, seed):
        self.rng = random.Random(seed)
        self.disks = PowerDisks(self.rng)
        self.disk = self.disks.disk(folder / "data")
        self.member = None
        self.log = []
        self.synced = 0
        self.commit = 0
        self.snapshots = [storage.Snapshot()]
        self.replaced_log = None
        self.votes = [(0, "")]
        self.formed = [[]]
        self.commits = {0: 0}
        self.audit_count = 0
        self.audit_synced = 0
        self.ends = collections.Counter()

    def run(self):
        with self.disks.intercept(), pytest.MonkeyPatch.context() as patch:
            # Threads would cost most of the time; `during_sync` stands for what runs beside one.
            patch.setattr(curio, "run_in_thread", run_directly)
            for _ in range(self.rng.randint(2, MAX_LIVES)):
                self.disk.steps_left = self.rng.randrange(MAX_STEPS)
                self.live()
            self.open()

    def live(self):
        try:
            store, audit = self.open()
            curio.run(self.change, store, audit)
        except PowerLoss:
            self.ends[self.disk.ended_at] += 1
        except exceptions.StorageError:
            # Only a sync that was made to fail ends the process by itself.
            if not self.disk.fails_syncs:
                raise
        if self.rng.random() < 0.3:
            self.disk.kill()
        else:
            self.disk.lose_power()

    # -- opening ---------------------------------------------------------------------------

    def open(self):
        store = storage.Storage(str(self.disk.folder), HOST)
        self.check_identity(store)
        self.check_vote(store)
        self.check_snapshot(store)
        self.check_log(store)
        audit = auditlog.AuditLog(str(self.disk.folder), StateModel())
        self.check_audit(audit)
        return store, audit

    def check_identity(self, store):
        if self.member is not None:
            assert store.identity.member == self.member, "the member id changed"
        self.member = store.identity.member
        formed = [info.host for info in store.identity.formed]
        assert formed in self.formed, "the first configuration is gone"
        self.formed = [formed]

    def check_vote(self, store):
        vote = (store.vote.term, store.vote.voted_for)
        assert vote in self.votes, f"vote {vote} is none of {self.votes}"
        # The host acts on the vote it finds without saving it again.
        self.votes = [vote]

    def check_snapshot(self, store):
        saved = store.load_snapshot()
        assert saved in self.snapshots, "the snapshot is older than the acknowledged one"
        if self.replaced_log is not None and saved == self.snapshots[-1]:
            self.install_log()
        self.replaced_log = None
        self.snapshots = [saved]

    def install_log(self):
        self.log = self.replaced_log
        self.synced = self.commit = len(self.log)

    def check_log(self, store):
        assert store.last_index() >= self.synced, "acknowledged entries are gone"
        assert store.last_index() <= max(len(self.log), store.snapshot.index), "entries came back"
        for entry in store.log.entries:
            expected = self.log[entry.index - 1]
            assert (entry.term, entry.data) == expected, f"another entry at {entry.index}"
        assert store.base.index <= store.snapshot.index, "entries are missing behind the snapshot"
        index = store.committed.index
        assert self.commits.get(index) == store.committed.term, "no such commit was saved"
        assert index <= store.last_index()
        del self.log[store.last_index() :]
        # The host acknowledges what it finds without syncing it again.
        self.synced = store.synced_index

    def check_audit(self, audit):
        indexes = [entry.index for entry in audit.read(0, 1 << 20)]
        assert indexes == list(range(1, len(indexes) + 1)), "the audit trail has gaps"
        assert self.audit_synced <= len(indexes) <= self.audit_count, "audit entries are gone"
        # The host does not write again what it finds.
        self.audit_count = self.audit_synced = len(indexes)

    # -- changes ---------------------------------------------------------------------------

    async def change(self, store, audit):
        changes = 3 * [self.append] + 2 * [self.sync] + [self.append_during_sync, self.save_vote]
        changes += [self.replace_end, self.take_snapshot, self.install_snapshot]
        changes += [self.save_commit, self.form, self.write_audit]
        while True:
            if self.rng.random() < 0.05:
                self.disk.room = self.rng.randrange(400)
            self.disk.fails_syncs = self.rng.random() < 0.01
            change = self.rng.choice(changes)
            try:
                if change == self.write_audit:
                    await self.write_audit(audit)
                else:
                    await change(store)
            except exceptions.DiskFullError:
                pass
            self.disk.room = None

    def new_entries(self, term):
        entries = []
        for index in range(len(self.log) + 1, len(self.log) + 1 + self.rng.randint(1, 3)):
            size = self.rng.choice([1, 10, 60, 700, 3000])
            data = self.rng.randbytes(self.rng.randint(1, size))
            # Commands may hold zeros, also at their end.
            entries.append(messages.LogEntry(index, term, data + self.rng.choice([b"", b"\0"])))
        return entries

    async def append(self, store):
        self.append_now(store)

    def append_now(self, store):
        entries = self.new_entries(store.saved_vote.term)
        self.log += [(entry.term, entry.data) for entry in entries]
        try:
            store.append(entries)
        except exceptions.DiskFullError:
            del self.log[-len(entries) :]
            raise

    async def sync(self, store):
        await store.sync()
        assert store.synced_index == store.last_index() == len(self.log)
        self.synced = store.synced_index

    async def append_during_sync(self, store):
        self.append_now(store)
        count = len(self.log)
        self.disk.during_sync = lambda: self.append_now(store)
        try:
            await store.sync()
        finally:
            self.disk.during_sync = None
        assert store.synced_index >= count
        self.synced = store.synced_index

    async def save_vote(self, store):
        if self.rng.random() < 0.3 and not store.vote.voted_for:
            store.vote.voted_for = self.rng.choice("abc")
        else:
            self.begin_term(store)
        await self.acknowledge_vote(store)

    def begin_term(self, store):
        store.vote.term += 1
        store.vote.voted_for = self.rng.choice(["", "a", "b"])

    async def acknowledge_vote(self, store):
        vote = (store.vote.term, store.vote.voted_for)
        self.votes.append(vote)
        await store.save_vote()
        self.votes = [vote]

    async def replace_end(self, store):
        """Truncate entries that are not committed, and append others of a new term."""
        first = max(self.commit, store.snapshot.index) + 1
        if first > len(self.log):
            return
        self.begin_term(store)
        await self.acknowledge_vote(store)
        index = self.rng.randint(first, len(self.log))
        self.synced = min(self.synced, index - 1)
        store.truncate(index)
        del self.log[index - 1 :]
        self.append_now(store)

    async def take_snapshot(self, store):
        if self.synced <= store.snapshot.index:
            return
        index = self.rng.randint(store.snapshot.index + 1, self.synced)
        self.commit = max(self.commit, index)
        snapshot = storage.Snapshot(index, self.log[index - 1][0], b"state %d" % index)
        await self.save_snapshot(store, snapshot, self.rng.choice([0, 1, 2, 5]))

    async def install_snapshot(self, store):
        """Save a snapshot of a newer term, in place of all entries that are not committed."""
        self.begin_term(store)
        await self.acknowledge_vote(store)
        first = max(self.commit, store.snapshot.index) + 1
        index = self.rng.randint(first, max(first, len(self.log)) + 3)
        snapshot = storage.Snapshot(index, store.vote.term, b"installed %d" % index)
        self.replaced_log = [(0, None)] * (index - 1) + [(snapshot.term, None)]
        try:
            await self.save_snapshot(store, snapshot, 0)
        except exceptions.DiskFullError:
            self.replaced_log = None
            raise
        self.install_log()
        self.replaced_log = None
        assert store.last_index() == index

    async def save_snapshot(self, store, snapshot, trailing_entries):
        self.snapshots.append(snapshot)
        await store.save_snapshot(snapshot, trailing_entries)
        self.snapshots = [snapshot]

    async def save_commit(self, store):
        first = max(self.commit, store.snapshot.index, 1)
        if first <= self.synced:
            self.commit = self.rng.randint(first, self.synced)
            self.commits[self.commit] = store.term_at(self.commit)
            await store.save_commit(self.commit)

    async def form(self, store):
        hosts = ["control-1", f"control-{self.rng.randint(2, 9)}"]
        self.formed.append(hosts)
        infos = [messages.MemberInfo(host, host, "puget", "x:1", "x:2") for host in hosts]
        store.save_first_configuration(infos)
        self.formed = [hosts]

    async def write_audit(self, audit):
        waiting = audit.state_machine.data.audit
        first = (waiting[-1].index if waiting else audit.last_index) + 1
        for index in range(first, first + self.rng.randint(1, 8)):
            entry = statedata.AuditEntry(index, 1, "ann", "X", "t", f"op-{index}")
            waiting.append(entry)
            self.audit_count = max(self.audit_count, index)
        await audit.write_new_entries()
        self.audit_synced = audit.last_index


def test_acknowledged_state_survives_every_legal_disk(tmp_path):
    for number in range(HISTORIES):
        folder = tmp_path / str(number)
        folder.mkdir()
        seed = SEED * 1_000_000 + number
        try:
            History(folder, seed).run()
        except Exception as error:
            raise AssertionError(f"history of seed {seed}: {error}") from error
