"""Faults for cluster tests: network partitions by TCP proxies, and frozen and killed processes."""

import secrets
import selectors
import socket
import threading

import msgspec

from cluster import Cluster, Host, Process, free_address, wait_for
from ebonywheel import durable, storage

READ_BYTES = 65536


class Proxy:
    """Forwards TCP connections to a target, and drops bytes without closing the connections.

    Attributes:
        drops_outgoing: Whether bytes to the target are dropped.
        drops_incoming: Whether bytes from the target are dropped.
    """

    def __init__(self, target: str):
        self.address = free_address()
        self.target = target
        self.drops_outgoing = False
        self.drops_incoming = False


class Network:
    """All proxies of a cluster, served by one thread."""

    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.proxies: dict[tuple[str, str], Proxy] = {}
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.running = True

    def add(self, source: str, target: Host) -> str:
        """Start a proxy, and return the address at which a source reaches a target through it."""
        proxy = Proxy(target.link)
        ip, port = proxy.address.split(":")
        listener = socket.create_server((ip, int(port)))
        self.proxies[source, target.name] = proxy
        self.selector.register(listener, selectors.EVENT_READ, (self._accept, proxy))
        return proxy.address

    def partition(
        self, name: str, others: list[str], outgoing: bool = True, incoming: bool = True
    ) -> None:
        """Drop what a host sends to others (`outgoing`) and what they send to it (`incoming`)."""
        for (source, target), proxy in self.proxies.items():
            if source == name and target in others:
                proxy.drops_outgoing, proxy.drops_incoming = (
                    proxy.drops_outgoing or outgoing,
                    proxy.drops_incoming or incoming,
                )
            elif target == name and source in others:
                proxy.drops_outgoing, proxy.drops_incoming = (
                    proxy.drops_outgoing or incoming,
                    proxy.drops_incoming or outgoing,
                )

    def heal(self) -> None:
        """End all partitions."""
        for proxy in self.proxies.values():
            proxy.drops_outgoing = proxy.drops_incoming = False

    def close(self) -> None:
        self.running = False
        self.thread.join()
        for key in list(self.selector.get_map().values()):
            key.fileobj.close()

    def _run(self) -> None:
        while self.running:
            for key, _ in self.selector.select(0.1):
                handle, *rest = key.data
                handle(key.fileobj, *rest)

    def _accept(self, listener: socket.socket, proxy: Proxy) -> None:
        client_socket, _ = listener.accept()
        ip, port = proxy.target.split(":")
        try:
            target_socket = socket.create_connection((ip, int(port)), timeout=1.0)
        except OSError:
            client_socket.close()
            return
        self.selector.register(
            client_socket,
            selectors.EVENT_READ,
            (self._forward, target_socket, proxy, "drops_outgoing"),
        )
        self.selector.register(
            target_socket,
            selectors.EVENT_READ,
            (self._forward, client_socket, proxy, "drops_incoming"),
        )

    def _forward(self, source, target, proxy: Proxy, drops_attribute: str) -> None:
        try:
            data = source.recv(READ_BYTES)
            if data and not getattr(proxy, drops_attribute):
                target.sendall(data)
        except OSError:
            data = b""
        if not data:
            for sock in (source, target):
                if sock.fileno() >= 0:
                    self.selector.unregister(sock)
                    sock.close()


class FaultyCluster(Cluster):
    """A cluster whose links between processes can be partitioned, each direction by itself."""

    def __init__(self, folder, **options):
        super().__init__(folder, **options)
        self.network = Network()
        self.proxy_addresses = {
            (source.name, target.name): self.network.add(source.name, target)
            for source in [*self.controls, *self.entries]
            for target in self.controls
            if source is not target
        }
        self.members = {host.name: secrets.token_hex(8) for host in self.controls}
        for host in self.controls:
            self._write_identity(host)
        self.network.thread.start()

    def close(self) -> None:
        for process in self.processes():
            if process.running():
                process.thaw()
        super().close()
        self.network.close()

    def entry_settings(self, host: Host) -> str:
        text = super().entry_settings(host)
        for target in self.controls:
            text = text.replace(
                f'"{target.link}"', f'"{self.proxy_addresses[host.name, target.name]}"'
            )
        return text

    def leader(self) -> Host:
        """Wait for a leader and return its host."""
        return wait_for(self._find_leader, "a leader")

    def _find_leader(self) -> Host | None:
        for control in self.controls:
            name = self.leader_name(control) if control.process.running() else ""
            for host in self.controls:
                if host.name == name:
                    return host
        return None

    def _write_identity(self, host: Host) -> None:
        # The identity of a formed cluster in which each host reaches the others by proxies.
        folder = self.folder / f"data-{host.name}"
        folder.mkdir()
        formed = [
            {
                "host": other.name,
                "member": self.members[other.name],
                "data_centre": other.data_centre,
                "link": self.proxy_addresses.get((host.name, other.name), other.link),
                "http": other.http,
            }
            for other in self.controls
        ]
        identity = {"host": host.name, "member": self.members[host.name], "formed": formed}
        durable.replace(folder / storage.LOG_FILE, b"")
        durable.replace_with_checksum(folder / storage.IDENTITY_FILE, msgspec.json.encode(identity))


class Fault:
    """A fault in a running cluster; the hosts that it affects are chosen before it begins."""

    def __init__(self, cluster: FaultyCluster):
        self.cluster = cluster
        self.network = cluster.network
        self.entry = cluster.entries[0]
        self.leader = cluster.leader()
        self.followers = [host for host in cluster.controls if host is not self.leader]

    def begin(self) -> None:
        """Inject the fault."""

    def end(self) -> None:
        """Undo the fault."""


class LeaderFrozen(Fault):
    """The leader is frozen for longer than any lease."""

    def target_process(self) -> Process:
        return self.leader.process

    def begin(self) -> None:
        self.frozen = self.target_process()
        self.frozen.freeze()

    def end(self) -> None:
        self.frozen.thaw()


class FollowerFrozen(LeaderFrozen):
    """The follower that the entry host asks is frozen: one in its data centre if there is one."""

    def target_process(self) -> Process:
        data_centre = self.entry.data_centre
        return max(self.followers, key=lambda host: host.data_centre == data_centre).process


class EntryFrozen(LeaderFrozen):
    """An entry host is frozen."""

    def target_process(self) -> Process:
        return self.entry.process


class LeaderKilled(Fault):
    """The leader is killed, and started again when the fault ends."""

    def begin(self) -> None:
        self.leader.process.kill()

    def end(self) -> None:
        self.cluster.start_control(self.leader)


class EntryRestarted(Fault):
    """An entry host is killed and started again at once."""

    def begin(self) -> None:
        self.entry.process.kill()
        self.cluster.start_entry(self.entry)


class Partition(Fault):
    """A host is partitioned from some control hosts.

    Attributes:
        outgoing: Whether what the host sends is dropped.
        incoming: Whether what is sent to the host is dropped.
    """

    outgoing = True
    incoming = True

    def endpoints(self) -> tuple[Host, list[Host]]:
        """Return the host and those that it is partitioned from."""
        return self.entry, self.cluster.controls

    def begin(self) -> None:
        host, others = self.endpoints()
        self.network.partition(
            host.name, [other.name for other in others], self.outgoing, self.incoming
        )

    def end(self) -> None:
        self.network.heal()


class LeaderIsolated(Partition):
    """The leader is partitioned from the other control hosts; entry hosts still reach it."""

    def endpoints(self) -> tuple[Host, list[Host]]:
        return self.leader, self.followers


class LeaderOutgoingDropped(LeaderIsolated):
    """What the leader sends to the other control hosts is lost; it still receives from them."""

    incoming = False


class EntryPartitioned(Partition):
    """An entry host is partitioned from all control hosts."""


class EntryIncomingDropped(Partition):
    """What control hosts send to an entry host is lost; they still receive from it."""

    outgoing = False


class EntryReachesOldLeaderOnly(Partition):
    """An entry host is partitioned from all control hosts but the leader."""

    def endpoints(self) -> tuple[Host, list[Host]]:
        return self.entry, self.followers


FAULTS: dict[str, type[Fault]] = {
    "leader killed": LeaderKilled,
    "leader frozen": LeaderFrozen,
    "leader isolated": LeaderIsolated,
    "leader outgoing dropped": LeaderOutgoingDropped,
    "follower frozen": FollowerFrozen,
    "entry frozen": EntryFrozen,
    "entry restarted": EntryRestarted,
    "entry cut": EntryPartitioned,
    "entry incoming dropped": EntryIncomingDropped,
    "entry hears old leader only": EntryReachesOldLeaderOnly,
}
