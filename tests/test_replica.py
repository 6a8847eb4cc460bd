"""Replicas: elections, leases, commit, snapshots and members, each rule by a focused case."""

import contextlib
import pathlib
import random
import shutil
import time
import uuid

import curio
import msgspec
import pytest

import replicas
from ebonywheel import (
    commands,
    durable,
    elections,
    exceptions,
    membership,
    messages,
    replication,
    storage,
)
from replicas import ELECTION_TIMEOUT_S, Replicas, add, check_history, copy_of, node_value

# For cases in which a leader must not be lost by a busy machine.
STEADY_TIMEOUT_S = 0.6
NOOP = commands.encode(commands.Noop())


def run(tmp_path, body, **options):
    """Run a test's body with started replicas, and check its history afterwards."""

    async def main():
        cluster = Replicas(tmp_path, **options)
        try:
            await cluster.start()
            await cluster.wait_leader()
            await body(cluster)
        finally:
            await cluster.close()

    curio.run(main)


def rng():
    return random.Random(4)


async def writes(cluster, count, key="a"):
    for _ in range(count):
        await cluster.write(key, rng=random, attempts=1000)


async def propose(node, **fields):
    command = commands.JoinRoster(
        **{
            "operation": str(uuid.uuid4()),
            "host": "a",
            "incarnation": 1,
            "data_centre": "puget",
            "address": "1",
            "environment": replicas.ENVIRONMENT,
            **fields,
        }
    )
    return await node.replica.propose(command, 1.0)


def followers(cluster):
    return [node for node in cluster.nodes if not node.leads()]


def vote_request(source, target, term, **fields):
    return messages.VoteRequest(term, source.member, 1 << 40, term, target=target.member, **fields)


class TestElection:
    def test_voter_that_hears_a_leader_gives_no_vote(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            one, two = followers(cluster)
            await curio.sleep(cluster.timeout_s)
            term = leader.store.vote.term
            for pre in (True, False):
                reply = await one.replica.handle_vote(vote_request(two, one, term + 1, pre=pre))
                assert not reply.granted
            assert one.store.vote.term == term
            assert leader.leads()

        run(tmp_path, body, timeout_s=STEADY_TIMEOUT_S)

    def test_voter_waits_after_its_own_start(self, tmp_path):
        async def body(cluster):
            one, two = followers(cluster)
            cluster.isolate(one)
            await one.kill()
            await one.start()
            term = one.store.vote.term + 1
            reply = await one.replica.handle_vote(vote_request(two, one, term))
            assert not reply.granted
            await curio.sleep(ELECTION_TIMEOUT_S * 1.1)
            reply = await one.replica.handle_vote(vote_request(two, one, term + 5))
            assert reply.granted

        run(tmp_path, body)

    def test_no_two_votes_in_one_term_across_a_power_cut(self, tmp_path):
        async def body(cluster):
            one, two = followers(cluster)
            cluster.isolate(one)
            await curio.sleep(ELECTION_TIMEOUT_S * 1.2)
            term = one.store.vote.term + 9
            assert (await one.replica.handle_vote(vote_request(two, one, term))).granted
            await one.kill()
            await one.start()
            await curio.sleep(ELECTION_TIMEOUT_S * 1.2)
            other = next(node for node in cluster.nodes if node not in (one, two))
            assert not (await one.replica.handle_vote(vote_request(other, one, term))).granted
            assert (await one.replica.handle_vote(vote_request(two, one, term))).granted

        run(tmp_path, body)

    def test_cut_off_host_does_not_raise_the_term(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            one, _ = followers(cluster)
            term = leader.store.vote.term
            cluster.isolate(one)
            await curio.sleep(cluster.timeout_s * 8)
            assert one.store.vote.term == term
            cluster.heal()
            await curio.sleep(cluster.timeout_s * 4)
            assert (leader.leads(), leader.store.vote.term) == (True, term)

        run(tmp_path, body, timeout_s=STEADY_TIMEOUT_S)

    def test_candidate_that_hears_a_leader_during_its_poll_does_not_stand(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            one, two = followers(cluster)
            term = leader.store.vote.term
            part = one.replica.elections

            async def hears_meanwhile(term, pre, transfer=False):
                part.hear()
                return True

            part._poll = hears_meanwhile
            part.heard_at -= 2 * ELECTION_TIMEOUT_S
            await part.stand()
            assert (one.store.vote.term, part.role) == (term, elections.Role.FOLLOWER)

        run(tmp_path, body)

    def test_failed_poll_does_not_forget_that_a_leader_was_heard(self, tmp_path):
        async def body(cluster):
            one, two = followers(cluster)
            part = one.replica.elections

            async def fails(term, pre, transfer=False):
                part.hear()
                return False

            part._poll = fails
            part.heard_at -= 2 * ELECTION_TIMEOUT_S
            await part.stand()
            assert not part.may_vote()

        run(tmp_path, body)

    def test_answers_of_an_old_term_elect_nobody(self, tmp_path):
        async def body(cluster):
            one, two = followers(cluster)
            term = one.store.vote.term

            class Stale:
                address = two.address

                async def call(self, message, timeout_s):
                    return messages.VoteReply(term, True)

            for member in cluster.nodes:
                one.replica.links[member.member] = Stale()
            assert not await one.replica.elections._poll(term + 1, pre=False)

        run(tmp_path, body)

    def test_only_host_that_can_win_learns_a_newer_term(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            one, two = followers(cluster)
            await two.kill()
            cluster.isolate(one)
            with pytest.raises(exceptions.UnknownOutcomeError):
                await propose(leader)
            await curio.sleep(ELECTION_TIMEOUT_S * 2)
            one.replica.elections._adopt(one.store.vote.term + 5)
            await one.store.save_vote()
            cluster.heal()
            assert await cluster.wait_leader() is leader
            await cluster.verify()

        run(tmp_path, body)


class TestTransfer:
    def test_leadership_moves_without_an_election_timeout(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            await writes(cluster, 3)
            await leader.replica.transfer()
            assert (await cluster.wait_leader()) is not leader
            await cluster.verify()

        run(tmp_path, body)

    def test_lease_does_not_come_back_after_a_transfer_without_answer(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            term = leader.store.vote.term
            for node in followers(cluster):
                node.replica.elections.handle_timeout_now = ignored
            await leader.replica.transfer()
            for _ in range(40):
                assert not (leader.leads() and leader.store.vote.term == term)
                await curio.sleep(0.01)

        async def ignored(request):
            return messages.Ack()

        run(tmp_path, body)

    def test_late_permission_of_an_old_term_is_void(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            one, _ = followers(cluster)
            term = leader.store.vote.term
            await one.replica.handle_timeout_now(messages.TimeoutNow(term - 1, one.member))
            await one.replica.elections._succeed(term - 1)
            assert one.store.vote.term == term

        run(tmp_path, body)


class TestLease:
    def test_leader_without_a_quorum_decides_and_answers_nothing(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            cluster.isolate(leader)
            await curio.sleep(ELECTION_TIMEOUT_S)
            assert not leader.leads()
            with pytest.raises(exceptions.NotLeaderError):
                await propose(leader)
            other = await cluster.wait_leader()
            assert other is not leader
            assert not leader.leads()
            await cluster.wait_until(
                lambda: leader.replica.role is elections.Role.FOLLOWER, "the old leader's step down"
            )
            await cluster.verify()

        run(tmp_path, body)

    def test_one_way_cut_of_the_answers_ends_the_lease(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            for node in followers(cluster):
                cluster.cut(node, leader)
            await curio.sleep(ELECTION_TIMEOUT_S)
            assert not leader.leads()
            await cluster.wait_leader(followers(cluster))
            await cluster.verify()

        run(tmp_path, body)

    def test_new_leader_answers_no_read_before_its_own_first_entry_is_applied(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            await writes(cluster, 3)
            one = followers(cluster)[0]
            part = one.replica.replication
            one.replica.elections.role = elections.Role.LEADER
            part.begin_term()
            for node in cluster.nodes:
                progress = part.progress.setdefault(node.member, replication.Progress())
                progress.acked_at = one.clock.monotonic()
            one.replica.commit = part.term_start
            assert part.has_lease()
            assert not one.replica.has_lease()
            one.replica.commit = one.machine.applied
            await one.kill()
            assert leader.running

        run(tmp_path, body)

    def test_clock_steps_change_nothing(self, tmp_path):
        async def body(cluster):
            await writes(cluster, 3)
            for step in (86_400 * 4000.0, -86_400 * 4000.0):
                leader = await cluster.wait_leader()
                for node in cluster.nodes:
                    node.clock.step = step
                assert leader.leads()
                stamp = leader.machine.data.at_ms
                await leader.kill()
                await cluster.wait_leader()
                await leader.start()
                await writes(cluster, 2)
                assert cluster.leader().machine.data.at_ms >= stamp
            first = cluster.history[0]
            assert first.id in cluster.leader().machine.data.operations
            await cluster.verify()

        run(tmp_path, body)


class TestLog:
    def test_entries_of_an_old_term_are_not_committed_by_counting(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            part = leader.replica.replication
            before = leader.replica.commit
            leader.store.vote.term += 1
            leader.replica.elections.role = elections.Role.LEADER
            leader.store.append([messages.LogEntry(before + 1, leader.store.vote.term - 1, b"")])
            await leader.store.sync()
            for progress in part.progress.values():
                progress.match = before + 1
            await part.advance_commit()
            assert leader.replica.commit == before

        run(tmp_path, body)

    def test_acknowledged_writes_survive_a_power_cut_of_all(self, tmp_path):
        async def body(cluster):
            for _ in range(4):
                await writes(cluster, 5)
                for node in cluster.nodes:
                    await node.kill()
                for node in cluster.nodes:
                    await node.start()
                await cluster.wait_leader()
            await cluster.verify()

        run(tmp_path, body)

    def test_failed_sync_ends_the_host_and_acknowledges_nothing(self, tmp_path):
        async def body(cluster):
            one, two = followers(cluster)
            cluster.isolate(two)
            cluster.disk.failing.add(one.folder)
            await cluster.write("a", random, attempts=1)
            with contextlib.suppress(exceptions.EbonywheelError):
                await propose(cluster.leader() or one)
            await one.core.stopped.wait()
            assert isinstance(one.core.failure, exceptions.StorageError)
            cluster.disk.failing.clear()
            await one.kill()
            await cluster.verify()
            done = [operation for operation in cluster.history if operation.result == "done"]
            assert [operation.key for operation in done] == ["last"]

        run(tmp_path, body)

    def test_fault_in_an_answer_to_the_leader_ends_the_host(self, tmp_path):
        async def body(cluster):
            one, _ = followers(cluster)
            await writes(cluster, 2)
            term, last = one.store.vote.term, one.store.last_index()
            cluster.isolate(one)
            cluster.disk.failing.add(one.folder)
            entry = messages.LogEntry(last + 1, term, NOOP)
            prev_term = one.store.term_at(last)
            request = messages.AppendRequest(term, "x", last, prev_term, 0, [entry], one.member)
            with pytest.raises(exceptions.StorageError):
                await one.replica.handle_append(request)
            assert one.core.stopped.is_set()
            cluster.disk.failing.clear()
            with pytest.raises(exceptions.StorageError):
                await one.replica.handle_append(request)

        run(tmp_path, body)

    def test_vote_that_cannot_be_saved_is_not_given_and_ends_the_host(self, tmp_path):
        async def body(cluster):
            one, two = followers(cluster)
            cluster.isolate(one)
            await curio.sleep(ELECTION_TIMEOUT_S * 1.2)
            cluster.disk.failing.add(one.folder)
            with pytest.raises(exceptions.StorageError):
                await one.replica.handle_vote(vote_request(two, one, one.store.vote.term + 9))
            assert one.core.stopped.is_set()
            assert isinstance(one.core.failure, exceptions.StorageError)

        run(tmp_path, body)

    def test_leader_that_cannot_sync_acknowledges_nothing_by_itself(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            one, two = followers(cluster)
            cluster.disk.failing.add(leader.folder)
            cluster.isolate(two)
            with pytest.raises(exceptions.EbonywheelError):
                await propose(leader)
            await leader.core.stopped.wait()
            cluster.disk.failing.clear()
            await leader.kill()
            await cluster.verify()

        run(tmp_path, body)

    def test_message_of_an_old_leader_after_the_term_changed_is_not_stored(self, tmp_path):
        async def body(cluster):
            one, two = followers(cluster)
            await writes(cluster, 2)
            cluster.isolate(one)
            term, last = one.store.vote.term, one.store.last_index()
            one.replica.elections._adopt(term + 3)
            entry = messages.LogEntry(last + 1, term, NOOP)
            request = messages.AppendRequest(term, "x", last, term, last, [entry], one.member)
            reply = await one.replica.handle_append(request)
            assert (reply.ok, one.store.last_index()) == (False, last)

            real = one.store.save_vote

            async def term_changes_meanwhile():
                one.replica.elections._adopt(term + 9)
                await real()

            one.store.save_vote = term_changes_meanwhile
            request.term = term + 4
            reply = await one.replica.handle_append(request)
            assert (reply.ok, one.store.last_index()) == (False, last)

        run(tmp_path, body)

    def test_committed_entries_are_never_cut(self, tmp_path):
        async def body(cluster):
            one, _ = followers(cluster)
            await writes(cluster, 2)
            await curio.sleep(ELECTION_TIMEOUT_S)
            cluster.isolate(one)
            commit = one.replica.commit
            prev = one.store.term_at(commit - 1)
            entry = messages.LogEntry(commit, 99, NOOP)
            request = messages.AppendRequest(99, "x", commit - 1, prev, 0, [entry], one.member)
            with pytest.raises(exceptions.CorruptLogError):
                await one.replica.handle_append(request)
            assert one.core.failure is not None

        run(tmp_path, body)

    def test_big_commands_are_replicated_in_parts(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            one, _ = followers(cluster)
            await one.kill()
            for _ in range(4):
                await propose(leader, address="x" * 3_000_000)
            await one.start()
            await cluster.wait_until(
                lambda: one.machine.applied == leader.machine.applied, "catch-up"
            )
            with pytest.raises(exceptions.NotRunError, match="over"):
                await propose(leader, address="x" * 7_000_000)

        run(tmp_path, body)

    def test_same_operation_in_flight_twice_takes_effect_once(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            async with curio.TaskGroup() as group:
                for _ in range(5):
                    await group.spawn(propose_as, leader, "op-1")
            outcomes = [outcome for _, outcome in group.results]
            assert outcomes == [outcomes[0]] * 5
            audited = [entry.operation for entry in leader.machine.data.audit]
            assert audited.count("op-1") == 1

        async def propose_as(leader, operation):
            return await propose(leader, operation=operation)

        run(tmp_path, body)

    def test_slow_disks_of_the_followers_do_not_end_the_lease(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            term, before = leader.store.vote.term, leader.replica.commit
            for node in followers(cluster):
                cluster.disk.slow[node.name] = 3 * cluster.timeout_s
            with pytest.raises(exceptions.UnknownOutcomeError):
                await propose(leader)
            assert leader.replica.commit == before
            for _ in range(20):
                assert (leader.leads(), leader.store.vote.term) == (True, term)
                await curio.sleep(cluster.timeout_s / 10)
            cluster.disk.slow.clear()
            await cluster.verify()
            assert leader.store.vote.term == term

        run(tmp_path, body, timeout_s=STEADY_TIMEOUT_S)

    def test_proposals_share_syncs(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            syncs = []
            real = leader.store.log.sync
            leader.store.log.sync = lambda: (syncs.append(1), time.sleep(0.002), real())
            async with curio.TaskGroup() as group:
                for _ in range(200):
                    await group.spawn(propose, leader)
            assert 0 < len(syncs) < 50

        run(tmp_path, body, snapshot_entries=10_000)


class TestSnapshot:
    def test_host_that_was_away_for_hundreds_of_changes_catches_up(self, tmp_path):
        async def body(cluster):
            one, _ = followers(cluster)
            await one.kill()
            await writes(cluster, 300)
            await one.start()
            await cluster.verify()
            assert cluster.leader().core.metrics.value("snapshots_sent") >= 1

        run(tmp_path, body)

    def test_host_a_little_behind_needs_no_snapshot(self, tmp_path):
        async def body(cluster):
            one, _ = followers(cluster)
            await writes(cluster, 30)
            await curio.sleep(ELECTION_TIMEOUT_S)
            await one.kill()
            await writes(cluster, 9)
            await one.start()
            await cluster.verify()
            sent = [node.core.metrics.value("snapshots_sent") for node in cluster.nodes]
            assert sent == [0, 0, 0]

        run(tmp_path, body, snapshot_entries=36)

    def test_chunks_of_two_snapshots_do_not_mix(self, tmp_path):
        async def body(cluster):
            one, _ = followers(cluster)
            cluster.isolate(one)
            term = one.store.vote.term
            applied = one.machine.applied

            def chunk(index, offset, data, done=False):
                return messages.SnapshotChunk(
                    term, "x", index, term, offset, data, done, one.member
                )

            await one.replica.handle_snapshot(chunk(500, 0, b"old"))
            reply = await one.replica.handle_snapshot(chunk(600, 3, b"new", True))
            assert reply.offset == 0
            assert one.machine.applied == applied

        run(tmp_path, body)

    def test_last_chunk_that_was_not_taken_does_not_count(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            one, _ = followers(cluster)
            await one.kill()
            await writes(cluster, 100)
            await one.start()
            real = one.replica.follower.handle_snapshot
            refused = []

            async def refuses_once(request):
                if request.done and not refused:
                    refused.append(1)
                    return messages.SnapshotReply(request.term, 0)
                assert leader.replica.replication.match_of(one.member) < request.last_index
                return await real(request)

            one.replica.follower.handle_snapshot = refuses_once
            await cluster.verify()
            assert refused

        run(tmp_path, body)

    def test_nothing_is_applied_between_saving_and_restoring_a_snapshot(self, tmp_path):
        async def body(cluster):
            one, _ = followers(cluster)
            await one.kill()
            await writes(cluster, 100)
            await one.start()
            real = one.store.save_snapshot

            async def slow(snapshot, trailing):
                await real(snapshot, trailing)
                one.replica.commit = snapshot.index
                await one.replica.notify()
                await curio.sleep(0.05)

            one.store.save_snapshot = slow
            await cluster.wait_until(lambda: one.machine.applied > 50, "a snapshot")
            assert one.core.failure is None
            await cluster.verify()

        run(tmp_path, body)

    def test_operation_ids_survive_restarts_and_snapshots(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            first = await propose(leader, operation="op-1", address="7")
            await writes(cluster, 200)
            for node in cluster.nodes:
                await node.kill()
            for node in cluster.nodes:
                await node.start()
            await writes(cluster, 100)
            for _ in range(2):
                leader = await cluster.wait_leader()
                last = leader.store.last_index()
                again = await propose(leader, operation="op-1", address="7")
                assert again == first
                assert leader.store.last_index() == last
                await leader.replica.transfer()
            await cluster.verify()

        run(tmp_path, body)


class TestSavedCommit:
    def test_a_host_that_starts_alone_applies_what_was_committed(self, tmp_path):
        async def body(cluster):
            await writes(cluster, 5)
            one = followers(cluster)[0]
            await cluster.wait_until(
                lambda: one.store.committed.index == one.machine.applied >= 5, "the saved commit"
            )
            applied, data = one.machine.applied, one.machine.snapshot()
            for node in cluster.nodes:
                await node.kill()
            await one.start()
            await cluster.wait_until(lambda: one.machine.applied == applied, "the state")
            assert one.machine.snapshot() == data
            assert not one.leads() and not one.replica.has_lease()
            for node in cluster.nodes:
                if node is not one:
                    await node.start()
            await cluster.verify()

        run(tmp_path, body)

    def test_only_what_the_log_holds_counts_as_committed(self, tmp_path):
        async def body(cluster):
            await writes(cluster, 3)
            one = followers(cluster)[0]
            await one.kill()
            path = pathlib.Path(one.folder) / storage.COMMIT_FILE
            for mark in (storage.Mark(10_000, 1), storage.Mark(2, 99)):
                durable.replace_checked(path, msgspec.json.encode(mark))
                one.open()
                assert one.store.committed == storage.Mark()
                one.store.close()
            path.write_bytes(b"torn")
            one.open()
            assert one.store.committed == storage.Mark()
            await one.start()
            await cluster.verify()

        run(tmp_path, body)


class TestMembers:
    def test_lost_disk_under_the_old_name_counts_for_nothing(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            one, two = followers(cluster)
            await writes(cluster, 3)
            await one.kill()
            one.lose_disk()
            await one.start()
            await two.kill()
            await curio.sleep(ELECTION_TIMEOUT_S * 4)
            assert not leader.leads()
            assert one.store.last_index() == 0
            assert one.store.vote.term == 0

        run(tmp_path, body)

    def test_disk_of_another_cluster_counts_for_nothing(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            one, two = followers(cluster)
            other = Replicas(tmp_path / "other")
            await other.start()
            await other.wait_leader()
            await writes(other, 30)
            await other.close()
            await one.kill()
            one.lose_disk()
            foreign = next(node for node in other.nodes if node.name == one.name)
            shutil.copytree(foreign.folder, one.folder)
            await one.start()
            await two.kill()
            await curio.sleep(ELECTION_TIMEOUT_S * 6)
            assert cluster.leader() is None
            await two.start()
            await cluster.wait_leader([leader, two])
            assert not one.leads()
            await writes(cluster, 3)

        run(tmp_path, body)

    def test_repaired_host_carries_on_when_a_second_one_is_lost(self, tmp_path):
        async def body(cluster):
            one, two = followers(cluster)
            await writes(cluster, 100)
            old = one.member
            await one.kill()
            one.lose_disk()
            await one.start()
            await cluster.repair(one, old)
            await cluster.write("a", random, attempts=1000)
            await cluster.leader().kill()
            await cluster.wait_leader()
            await writes(cluster, 5)
            await cluster.verify()

        run(tmp_path, body)

    def test_learner_does_not_count(self, tmp_path):
        async def body(cluster):
            one, two = followers(cluster)
            old = one.member
            await one.kill()
            one.lose_disk()
            await one.start()
            await cluster.change(commands.RemoveMember(host=one.name, member=old))
            await cluster.change(add(one))
            leader = await cluster.wait_leader()
            await cluster.wait_until(
                lambda: one.machine.applied == leader.machine.applied, "catch-up"
            )
            assert one.replica.membership.voters() == leader.replica.membership.voters()
            await next(node for node in (one, two, leader) if node is two).kill()
            await curio.sleep(ELECTION_TIMEOUT_S * 3)
            assert cluster.leader() is None
            assert one.replica.role is elections.Role.FOLLOWER

        run(tmp_path, body)

    def test_learner_that_begins_at_the_first_entry_knows_the_cluster(self, tmp_path):
        async def body(cluster):
            fourth = replicas.Node(cluster, 4)
            cluster.nodes.append(fourth)
            await fourth.start()
            await cluster.change(add(fourth))
            await cluster.wait_until(lambda: fourth.machine.applied > 1, "catch-up")
            await cluster.change(add(fourth, voter=True))
            leader = await cluster.wait_leader()
            await cluster.verify()
            assert len(fourth.replica.membership.voters()) == 4
            assert fourth.replica.membership.quorum() == leader.replica.membership.quorum() == 3

        run(tmp_path, body, snapshot_entries=1000)

    def test_refused_changes(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            one, two = followers(cluster)
            fourth = replicas.Node(cluster, 4).open()
            cluster.nodes.append(fourth)
            await refused(leader, add(fourth, voter=True), "not caught up")
            for wrong in ("nonsense", "127.0.0.1:99999", "host:80", "127.0.0.1", ""):
                for field in ("link", "http"):
                    command = add(fourth)
                    setattr(command, field, wrong)
                    await refused(leader, command, "ip:port")
            unknown = commands.RemoveMember(host="control-9", member="nobody")
            await refused(leader, unknown, "no such member")
            await two.kill()
            await curio.sleep(ELECTION_TIMEOUT_S * 1.5)
            remove = commands.RemoveMember(host=one.name, member=one.member)
            await refused(leader, remove, "only 1 of 2")
            leader.replica.membership.last_change = leader.machine.applied + 1
            await refused(leader, add(fourth), "another membership change")
            fourth.store.close()
            cluster.nodes.remove(fourth)

        async def refused(leader, command, text):
            command.operation = str(uuid.uuid4())
            with pytest.raises(exceptions.NotRunError, match=text):
                await leader.replica.propose(command, 1.0)

        run(tmp_path, body)

    def test_resent_change_does_not_undo_a_later_one(self, tmp_path):
        async def body(cluster):
            fourth = replicas.Node(cluster, 4)
            cluster.nodes.append(fourth)
            await fourth.start()
            learner = add(fourth)
            learner.operation = "op-learner"
            leader = await cluster.wait_leader()
            first = await leader.replica.propose(copy_of(learner), 1.0)
            await cluster.change(add(fourth, voter=True))
            leader = await cluster.wait_leader()
            assert await leader.replica.propose(copy_of(learner), 1.0) == first
            assert leader.replica.membership.find(fourth.member).voter
            assert leader.replica.members == leader.machine.data.members
            await cluster.verify()

        run(tmp_path, body)

    def test_removed_leader_steps_down_and_the_removed_disturb_nobody(self, tmp_path):
        async def body(cluster):
            leader = await cluster.wait_leader()
            await cluster.change(commands.RemoveMember(host=leader.name, member=leader.member))
            other = await cluster.wait_leader(followers(cluster))
            assert other is not leader
            term = other.store.vote.term
            await curio.sleep(cluster.timeout_s * 5)
            assert (other.leads(), other.store.vote.term) == (True, term)
            await writes(cluster, 3)

        run(tmp_path, body, timeout_s=STEADY_TIMEOUT_S)

    def test_message_for_another_member_id_is_refused(self, tmp_path):
        async def body(cluster):
            one, two = followers(cluster)
            for request in (
                messages.AppendRequest(99, two.member, target="foreign"),
                messages.VoteRequest(99, two.member, 99, 99, target="foreign"),
                messages.SnapshotChunk(99, two.member, target="foreign"),
                messages.TimeoutNow(99, target="foreign"),
            ):
                with pytest.raises(exceptions.NotLeaderError):
                    await one.handle(request)
            assert one.store.vote.term < 99

        run(tmp_path, body)

    def test_every_membership_command_is_known_by_its_tag(self):
        kinds = membership.MembershipCommand.__args__
        assert tuple(kind.__name__ for kind in kinds) == membership.MEMBERSHIP_TYPES


class TestOracle:
    """The history checker finds what it is for."""

    @pytest.mark.parametrize(
        ("history", "log", "text"),
        [
            ([("write", 1, 0, 1, 5)], {}, "acknowledged"),
            ([("write", 1, 0, 1, 0, "not run")], {"1": 5}, "told not run"),
            ([("write", 1, 0, 1, 6), ("write", 2, 2, 3, 5)], {"1": 6, "2": 5}, "older"),
            ([("write", 1, 0, 1, 5), ("read", 0, 2, 3, 0)], {"1": 5}, "older"),
            (
                [
                    ("write", 1, 0, 1, 5),
                    ("write", 2, 1, 9, 6),
                    ("read", 2, 2, 3, 0),
                    ("read", 1, 4, 5, 0),
                ],
                {"1": 5, "2": 6},
                "older",
            ),
            ([("read", 7, 2, 3, 0)], {}, "nobody"),
        ],
    )
    def test_wrong_history(self, history, log, text):
        with pytest.raises(AssertionError, match=text):
            check_history([operation(*line) for line in history], log, len(log))

    def test_operation_that_took_effect_twice(self):
        with pytest.raises(AssertionError, match="twice"):
            check_history([], {}, 1)

    def test_right_history(self):
        lines = [("write", 1, 0, 2, 5), ("read", 0, 0, 1, 0), ("read", 1, 1, 3, 0)]
        check_history([operation(*line) for line in lines], {"1": 5}, 1)


def operation(kind, value, start, end, index, result="done"):
    made = replicas.Operation(str(value), kind, "a", value, start)
    made.end, made.index, made.result = end, index, result
    return made


def test_reads_see_the_register(tmp_path):
    async def body(cluster):
        await writes(cluster, 2)
        assert node_value(cluster.leader(), "a") == 2

    run(tmp_path, body)
