"""Forming a cluster: once, by all hosts with empty disks, never by one with a lost disk."""

import curio
import pytest

from ebonywheel import exceptions, formation, kernel, messages, settings, storage

NAMES = ("control-1", "control-2", "control-3")


class Hosts:
    """Hosts that can ask each other for their identity."""

    def __init__(self, folder):
        self.folder = folder
        self.down = set()
        self.parts = {name: self.make(name, folder / name) for name in NAMES}

    def make(self, name, folder):
        host = settings.HostSettings(name, "puget", "127.0.0.1:1", "127.0.0.1:1", "")
        peers = [settings.Peer(peer, "puget", "127.0.0.1:1") for peer in NAMES]
        loaded = settings.ControlSettings(host, str(folder), peers)
        store = storage.Storage(str(folder), name)
        part = formation.Formation(kernel.Kernel("control", host, b""), store, loaded, 0.0)
        part._ask = self.ask
        return part

    async def ask(self, peer):
        if peer.name in self.down:
            raise exceptions.LinkError("connection refused", "connect", peer.name)
        return self.parts[peer.name].identify()

    def replace_disk(self, name):
        self.parts[name].store.close()
        self.parts[name] = self.make(name, self.folder / f"{name}-new")

    def run(self, name, limit_s=0.5):
        async def main():
            async with curio.timeout_after(limit_s):
                return await self.parts[name].run()

        return curio.run(main)


@pytest.fixture
def hosts(tmp_path):
    return Hosts(tmp_path)


def ids(members):
    return [info.member for info in members]


class TestFirst:
    def test_all_hosts_form_the_same_cluster(self, hosts):
        formed = [ids(hosts.run(name)) for name in NAMES]
        assert formed == [formed[0]] * 3
        assert formed[0] == [hosts.parts[name].store.identity.member for name in NAMES]

    def test_nothing_is_formed_while_a_host_is_missing(self, hosts):
        hosts.down.add("control-3")
        with pytest.raises(curio.TaskTimeout):
            hosts.run("control-1")
        assert not hosts.parts["control-1"].belongs()

    def test_formed_cluster_survives_a_restart(self, hosts):
        hosts.run("control-1")
        old = hosts.parts["control-1"]
        old.store.close()
        again = hosts.make("control-1", hosts.folder / "control-1")
        assert again.belongs()
        assert ids(again.store.identity.formed) == ids(old.store.identity.formed)


class TestLostDisk:
    def test_host_with_a_new_disk_forms_nothing(self, hosts):
        hosts.run("control-1")
        hosts.replace_disk("control-3")
        assert hosts.run("control-3") is None
        assert not hosts.parts["control-3"].belongs()

    def test_two_new_disks_form_nothing_beside_the_old_one(self, hosts):
        for name in NAMES:
            hosts.run(name)
        hosts.replace_disk("control-2")
        hosts.replace_disk("control-3")
        assert hosts.run("control-2") is None
        assert hosts.run("control-3") is None

    def test_two_new_disks_form_nothing_while_the_old_one_is_away(self, hosts):
        for name in NAMES:
            hosts.run(name)
        hosts.replace_disk("control-2")
        hosts.replace_disk("control-3")
        hosts.down.add("control-1")
        with pytest.raises(curio.TaskTimeout):
            hosts.run("control-2")

    def test_joined_host_that_was_never_formed_is_known_to_belong(self, hosts):
        part = hosts.parts["control-2"]
        part.store.append([messages.LogEntry(1, 0, b"x")])
        assert part.identify().formed
        assert hosts.run("control-3") is None
