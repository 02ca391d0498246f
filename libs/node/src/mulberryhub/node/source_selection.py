"""Builds the part that selects the routers to follow, for the composition root."""

from mulberryhub.fleet.probes import Probe
from mulberryhub.fleet.records import Member
from mulberryhub.fleet.sources import SourceSelector


def build_source_selector(parts, seed_addresses, fleet_state, subscribe, clock):
    """Return the SourceSelector; it uses parts that are set later."""

    def reads_fail():
        return any(follower.failing_since is not None for follower in parts.followers)

    seeds = [Member(f"seed {address}", address, "") for address in seed_addresses]
    return SourceSelector(
        parts.local_member,
        seeds,
        fleet_state,
        subscribe,
        reads_fail,
        clock,
        lambda member: Probe(member, clock),
    )
