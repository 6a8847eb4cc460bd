"""Test that hosts with empty disks form one cluster, and a host that lost its disk forms none."""

import curio
import pytest

from ebonywheel import exceptions, formation, kernel, messages, settings, storage

NAMES = ("control-1", "control-2", "control-3")


class Hosts:
    """Control hosts whose identity requests are answered in memory."""

    def __init__(self, folder):
        self.folder = folder
        self.down = set()
        self.formations = {name: self.make_formation(name, folder / name) for name in NAMES}

    def make_formation(self, name, folder):
        host = settings.HostSettings(name, "puget", "127.0.0.1:1", "127.0.0.1:1", "")
        peers = [settings.Peer(peer, "puget", "127.0.0.1:1") for peer in NAMES]
        control_settings = settings.ControlSettings(host, str(folder), peers)
        store = storage.Storage(str(folder), name)
        host_formation = formation.Formation(
            kernel.Kernel("control", host, b""), store, control_settings, 0.0
        )
        host_formation._request_identity = self.request_identity
        return host_formation

    async def request_identity(self, peer):
        if peer.name in self.down:
            raise exceptions.LinkError("connection refused", "connect", peer.name)
        return self.formations[peer.name].identify()

    def replace_disk(self, name):
        self.formations[name].store.close()
        self.formations[name] = self.make_formation(name, self.folder / f"{name}-new")

    def run(self, name, timeout_s=0.5):
        async def main():
            async with curio.timeout_after(timeout_s):
                return await self.formations[name].run()

        return curio.run(main)


@pytest.fixture
def hosts(tmp_path):
    return Hosts(tmp_path)


def member_ids(members):
    return [info.member for info in members]


class TestFirstFormation:
    def test_all_hosts_form_the_same_cluster(self, hosts):
        formed = [member_ids(hosts.run(name)) for name in NAMES]
        assert formed == [formed[0]] * 3
        assert formed[0] == [hosts.formations[name].store.identity.member for name in NAMES]

    def test_nothing_is_formed_while_a_host_is_missing(self, hosts):
        hosts.down.add("control-3")
        with pytest.raises(curio.TaskTimeout):
            hosts.run("control-1")
        assert not hosts.formations["control-1"].belongs_to_cluster()

    def test_formed_cluster_survives_a_restart(self, hosts):
        hosts.run("control-1")
        old = hosts.formations["control-1"]
        old.store.close()
        restarted = hosts.make_formation("control-1", hosts.folder / "control-1")
        assert restarted.belongs_to_cluster()
        assert member_ids(restarted.store.identity.formed) == member_ids(old.store.identity.formed)


class TestLostDisk:
    def test_host_with_a_new_disk_forms_nothing(self, hosts):
        hosts.run("control-1")
        hosts.replace_disk("control-3")
        assert hosts.run("control-3") is None
        assert not hosts.formations["control-3"].belongs_to_cluster()

    def test_two_hosts_with_new_disks_form_nothing_beside_the_old_host(self, hosts):
        for name in NAMES:
            hosts.run(name)
        hosts.replace_disk("control-2")
        hosts.replace_disk("control-3")
        assert hosts.run("control-2") is None
        assert hosts.run("control-3") is None

    def test_two_hosts_with_new_disks_form_nothing_while_the_old_host_is_down(self, hosts):
        for name in NAMES:
            hosts.run(name)
        hosts.replace_disk("control-2")
        hosts.replace_disk("control-3")
        hosts.down.add("control-1")
        with pytest.raises(curio.TaskTimeout):
            hosts.run("control-2")

    def test_host_with_log_entries_but_no_first_configuration_belongs_to_the_cluster(self, hosts):
        host_formation = hosts.formations["control-2"]
        host_formation.store.append([messages.LogEntry(1, 0, b"x")])
        assert host_formation.identify().formed
        assert hosts.run("control-3") is None
