"""Learns the members from another router while the log cannot be read."""

import msgspec

from mulberryhub.peers.client import PeerUnavailable
from mulberryhub.peers.members import Member, Members, View

METHOD = "members.table"
CALL_TIMEOUT = 1_000  # ms


class MembersWanted(msgspec.Struct):
    """Asks a router for the members that it knows."""


class MembersKnown(msgspec.Struct):
    """The members that a router knows; no views where it knows none."""

    members: list[Member]
    views: list[View]


class MemberSeeds:
    """Answers other routers about the members, and asks those at `addresses`."""

    __slots__ = ("_client", "_addresses")

    def __init__(self, client, addresses):
        self._client = client
        self._addresses = list(addresses)

    def serve(self, server, current):
        """Answer on `server` with what `current()` returns."""

        def answer(_):
            members = current()
            if members is None:
                return MembersKnown([], [])
            return MembersKnown(
                list(members.members_by_vm.values()), list(members.views)
            )

        server.serve(METHOD, MembersWanted, answer)

    def ask(self, random):
        """Return the Members that some router knows, or None."""
        for address in random.sample(self._addresses, len(self._addresses)):
            try:
                known = self._client.call(
                    address, METHOD, MembersWanted(), MembersKnown, CALL_TIMEOUT
                )
            except PeerUnavailable:
                continue
            if known.views:
                members_by_vm = {member.vm: member for member in known.members}
                return Members(members_by_vm, tuple(known.views))
        return None
