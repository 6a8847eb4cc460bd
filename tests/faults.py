"""Faults for cluster tests: silent cuts of links by small proxies, frozen and killed processes."""

import secrets
import selectors
import socket
import threading

import msgspec

from cluster import Cluster, Host, Process, free_address, wait_for

READ_BYTES = 65536


class Proxy:
    """Forwards TCP connections; a cut direction swallows bytes and keeps connections open."""

    def __init__(self, target: str):
        self.address = free_address()
        self.target = target
        self.cut_up = False
        self.cut_down = False


class Network:
    """All proxies of a test, served by one thread."""

    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.proxies: dict[tuple[str, str], Proxy] = {}
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.open = True

    def add(self, source: str, target: Host) -> str:
        """Return the address at which a source reaches a target."""
        proxy = Proxy(target.link)
        ip, port = proxy.address.split(":")
        listener = socket.create_server((ip, int(port)))
        self.proxies[source, target.name] = proxy
        self.selector.register(listener, selectors.EVENT_READ, (self._accept, proxy))
        return proxy.address

    def cut(self, name: str, others: list[str], up: bool = True, down: bool = True) -> None:
        """Cut what a host sends to others (`up`) and what others send to it (`down`)."""
        for (source, target), proxy in self.proxies.items():
            if source == name and target in others:
                proxy.cut_up, proxy.cut_down = proxy.cut_up or up, proxy.cut_down or down
            elif target == name and source in others:
                proxy.cut_up, proxy.cut_down = proxy.cut_up or down, proxy.cut_down or up

    def heal(self) -> None:
        """End all cuts."""
        for proxy in self.proxies.values():
            proxy.cut_up = proxy.cut_down = False

    def close(self) -> None:
        self.open = False
        self.thread.join()
        for key in list(self.selector.get_map().values()):
            key.fileobj.close()

    def _run(self) -> None:
        while self.open:
            for key, _ in self.selector.select(0.1):
                handle, *rest = key.data
                handle(key.fileobj, *rest)

    def _accept(self, listener: socket.socket, proxy: Proxy) -> None:
        near, _ = listener.accept()
        ip, port = proxy.target.split(":")
        try:
            far = socket.create_connection((ip, int(port)), timeout=1.0)
        except OSError:
            near.close()
            return
        self.selector.register(near, selectors.EVENT_READ, (self._forward, far, proxy, "cut_up"))
        self.selector.register(far, selectors.EVENT_READ, (self._forward, near, proxy, "cut_down"))

    def _forward(self, source, target, proxy: Proxy, cut: str) -> None:
        try:
            data = source.recv(READ_BYTES)
            if data and not getattr(proxy, cut):
                target.sendall(data)
        except OSError:
            data = b""
        if not data:
            for sock in (source, target):
                if sock.fileno() >= 0:
                    self.selector.unregister(sock)
                    sock.close()


class FaultyCluster(Cluster):
    """A cluster whose links between processes can be cut, each direction by itself."""

    def __init__(self, folder, **options):
        super().__init__(folder, **options)
        self.network = Network()
        self.paths = {
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
            text = text.replace(f'"{target.link}"', f'"{self.paths[host.name, target.name]}"')
        return text

    def leader(self) -> Host:
        """Wait for a leader and return its host."""
        return wait_for(self._find_leader, "a leader")

    def _find_leader(self) -> Host | None:
        for asked in self.controls:
            name = self._leader(asked) if asked.process.running() else ""
            for host in self.controls:
                if host.name == name:
                    return host
        return None

    def _write_identity(self, host: Host) -> None:
        # A formed cluster in which each host reaches the others through proxies of its own.
        folder = self.folder / f"data-{host.name}"
        folder.mkdir()
        formed = [
            {
                "host": other.name,
                "member": self.members[other.name],
                "data_centre": other.data_centre,
                "link": self.paths.get((host.name, other.name), other.link),
                "http": other.http,
            }
            for other in self.controls
        ]
        identity = {"host": host.name, "member": self.members[host.name], "formed": formed}
        (folder / "identity.json").write_bytes(msgspec.json.encode(identity))


class Fault:
    """One fault of a running cluster, with its end; its victim is chosen while all is well."""

    def __init__(self, cluster: FaultyCluster):
        self.cluster = cluster
        self.network = cluster.network
        self.entry = cluster.entries[0]
        self.leader = cluster.leader()
        self.followers = [host for host in cluster.controls if host is not self.leader]

    def begin(self) -> None:
        """Bring the fault about."""

    def end(self) -> None:
        """Undo the fault."""


class LeaderFrozen(Fault):
    """The leader stands still for longer than any lease."""

    def victim(self) -> Process:
        return self.leader.process

    def begin(self) -> None:
        self.frozen = self.victim()
        self.frozen.freeze()

    def end(self) -> None:
        self.frozen.thaw()


class FollowerFrozen(LeaderFrozen):
    """The follower that the first entry host asks, or else any, stands still."""

    def victim(self) -> Process:
        near = self.entry.data_centre
        return max(self.followers, key=lambda host: host.data_centre == near).process


class EntryFrozen(LeaderFrozen):
    """An entry host stands still."""

    def victim(self) -> Process:
        return self.entry.process


class LeaderKilled(Fault):
    """The leader is killed and comes back later."""

    def begin(self) -> None:
        self.leader.process.kill()

    def end(self) -> None:
        self.cluster.start_control(self.leader)


class EntryRestarted(Fault):
    """An entry host is killed and started again at once."""

    def begin(self) -> None:
        self.entry.process.kill()
        self.cluster.start_entry(self.entry)


class Cut(Fault):
    """A host is cut off from some control hosts.

    Attributes:
        up: Whether what it sends is lost.
        down: Whether what is sent to it is lost.
    """

    up = True
    down = True

    def ends(self) -> tuple[Host, list[Host]]:
        """Return the host and the others."""
        return self.entry, self.cluster.controls

    def begin(self) -> None:
        host, others = self.ends()
        self.network.cut(host.name, [other.name for other in others], self.up, self.down)

    def end(self) -> None:
        self.network.heal()


class LeaderIsolated(Cut):
    """The leader is cut off from the other control hosts; entry hosts still reach it."""

    def ends(self) -> tuple[Host, list[Host]]:
        return self.leader, self.followers


class LeaderMute(LeaderIsolated):
    """What the leader sends to the other control hosts is lost; it hears them."""

    down = False


class EntryCut(Cut):
    """An entry host is cut off from all control hosts."""


class EntryDeaf(Cut):
    """An entry host hears no control host; they hear it."""

    up = False


class EntryHearsOldLeaderOnly(Cut):
    """An entry host reaches only the present leader."""

    def ends(self) -> tuple[Host, list[Host]]:
        return self.entry, self.followers


FAULTS: dict[str, type[Fault]] = {
    "leader killed": LeaderKilled,
    "leader frozen": LeaderFrozen,
    "leader isolated": LeaderIsolated,
    "leader mute": LeaderMute,
    "follower frozen": FollowerFrozen,
    "entry frozen": EntryFrozen,
    "entry restarted": EntryRestarted,
    "entry cut": EntryCut,
    "entry deaf": EntryDeaf,
    "entry hears old leader only": EntryHearsOldLeaderOnly,
}
