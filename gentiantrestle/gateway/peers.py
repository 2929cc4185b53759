"""Which other instances live and what they know; no I/O.

Answers the load of instances that are killed, paused, cut off or replaced:
silence is judged on this instance's steady clock, a restart by incarnation.
"""

from collections.abc import Iterable
from itertools import chain
from typing import NamedTuple

# An instance tells of itself at least every 0.4 s; datagrams may be lost.
SILENCE_TIMEOUT = (
    1.6  # seconds until an instance of the own zone counts as gone
)
# Datagrams an instance may send in a second to those of other zones.
FAR_RATE = 160
# In large fleets, where loads are added up for other zones, what it tells them
# is not urgent.
RARE_RATE = 45
# Where news of other zones would be older than this, loads are added up.
SUMMARY_GAP = 0.25  # seconds
MIN_INTERVAL = 0.05  # seconds between two datagrams to the same instance
SPEAKERS = 2  # of each zone that are told, in case the first is gone
MISSED = 3.2  # datagrams from another zone that may be missed
FORGET_AFTER = 60.0  # seconds until a silent host is not told any more
# How long a silent instance may still do work that is not known here.
SETTLE_TIME = 60.0  # seconds


class Peer(NamedTuple):
    """What one instance said of itself last, and when it was heard."""

    instance: str
    incarnation: int
    sequence: int
    host: str
    zone: str
    leaving: bool
    config_version: int
    store_reached: bool
    last_heard: float
    upstreams_revision: int = 0
    jobs_revision: int = 0
    upstreams_fingerprint: int = 0

    @property
    def run(self) -> str:
        """Name this run of the instance: another one after a restart."""
        return run_name(self.instance, self.incarnation)

    def is_alive(self, now: float, silence: float = SILENCE_TIMEOUT) -> bool:
        """Tell whether the instance was heard of in the last ``silence`` s."""
        return now - self.last_heard < silence


def remote_interval(hosts: int) -> float:
    """Return how often ``hosts`` instances of other zones are told, in s."""
    gap = hosts / FAR_RATE
    if gap > SUMMARY_GAP:
        gap = hosts / RARE_RATE
    return max(MIN_INTERVAL, gap)


def remote_silence_timeout(hosts: int) -> float:
    """Return when one of ``hosts`` in other zones counts as gone, in s."""
    return max(SILENCE_TIMEOUT, MISSED * remote_interval(hosts))


class PeerList:
    """The other instances by name, and the hosts to tell."""

    def __init__(
        self,
        instance: str,
        host: str,
        zone: str,
        seeds: Iterable[str],
    ) -> None:
        """Know the seeds' hosts only."""
        self._instance = instance
        self._zone = zone
        self._own_host = host
        self._by_name: dict[str, Peer] = {}
        self._seeds = frozenset(seeds) - {host}
        self._hosts: dict[str, float] = {}
        self._lost: dict[str, float] = {}

    def update(self, told: Peer) -> bool:
        """Take in what an instance says; tell whether it is a newcomer."""
        if told.instance == self._instance:
            return False
        known = self._by_name.get(told.instance)
        if known is not None and told[1:3] <= known[1:3]:
            return False
        self._by_name[told.instance] = told
        self._hosts[told.host] = told.last_heard
        self._lost.pop(told.instance, None)
        return known is None or known.incarnation != told.incarnation

    def learn_hosts(self, hosts: Iterable[str], now: float) -> None:
        """Take in hosts that another instance knows."""
        for host in hosts:
            if host != self._own_host:
                self._hosts.setdefault(host, now)

    def hosts(self, now: float) -> list[str]:
        """List the hosts to tell: those heard of lately, and the seeds."""
        for host, heard in tuple(self._hosts.items()):
            if now - heard > FORGET_AFTER:
                self._hosts.pop(host)
        return sorted(self._seeds | set(self._hosts))

    def split_hosts(self, now: float) -> tuple[list[str], list[str]]:
        """List the hosts in the own zone, and all others."""
        near = {one.host for one in self.near()}
        hosts = self.hosts(now)
        return (
            [host for host in hosts if host in near],
            [host for host in hosts if host not in near],
        )

    def remove_silent(self, now: float) -> list[Peer]:
        """Drop and return the instances that have fallen silent."""
        alive = self.alive(now)
        silent = [one for one in self._by_name.values() if one not in alive]
        for one in silent:
            self._by_name.pop(one.instance)
            if not one.leaving:
                self._lost[one.instance] = now
        return silent

    def no_recent_losses(self, now: float) -> bool:
        """Tell whether every instance that was lost lately is back."""
        return all(now - at > SETTLE_TIME for at in self._lost.values())

    def working_runs(self, now: float) -> tuple[str, ...]:
        """Name the runs of living instances that take work on."""
        return tuple(one.run for one in self.alive(now) if not one.leaving)

    def find_run(self, run: str) -> Peer | None:
        """Return a living instance by the name of its run."""
        return next(
            (one for one in self._by_name.values() if one.run == run), None
        )

    def alive(self, now: float) -> list[Peer]:
        """List the instances that were heard of lately."""
        silence = remote_silence_timeout(len(self._by_name) - len(self.near()))
        return [
            one
            for one in self._by_name.values()
            if one.is_alive(now, silence)
            and (one.zone != self._zone or one.is_alive(now))
        ]

    def near(self) -> list[Peer]:
        """List the instances of the own zone."""
        return [one for one in self._by_name.values() if one.zone == self._zone]

    def is_aggregator(self, now: float) -> bool:
        """Tell whether this instance adds its zone's loads up for others.

        The first by name does; whether it hears the store is no matter.
        """
        alive = [one for one in self.near() if one.is_alive(now)]
        return all(
            one.leaving or one.instance > self._instance for one in alive
        )

    def remote_aggregators(self, now: float) -> list[Peer]:
        """List the first instances of each other zone, by name."""
        zones: dict[str, list[Peer]] = {}
        for peer in sorted(self.alive(now), key=lambda one: one.instance):
            if peer.zone != self._zone and not peer.leaving:
                zones.setdefault(peer.zone, []).append(peer)
        return list(chain(*(found[:SPEAKERS] for found in zones.values())))


def run_name(instance: str, incarnation: int) -> str:
    """Name one run of an instance."""
    return f'{instance}/{incarnation:x}'
