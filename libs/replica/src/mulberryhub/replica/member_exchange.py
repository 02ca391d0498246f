"""Exchanges the members between routers for starts while the log is unavailable."""

import msgspec

from mulberryhub.peers.client import PeerUnavailable
from mulberryhub.peers.members import Member, MembershipState, MembershipView

MEMBERS_METHOD = "members.table"
CALL_TIMEOUT_MS = 1_000


class MembersRequest(msgspec.Struct):
    """Requests the members that a router knows."""


class MembersAnswer(msgspec.Struct):
    """The members that a router knows; `views` is empty if it knows none."""

    members: list[Member]
    views: list[MembershipView]


class MemberExchange:
    """Serves the known members to other routers, and fetches them from `addresses`.

    `client` is a PeerClient; `addresses` are the peer addresses of seed routers.
    """

    __slots__ = ("_client", "_addresses")

    def __init__(self, client, addresses):
        self._client = client
        self._addresses = list(addresses)

    def register_handler(self, server, current):
        """Register a method on `server` that answers with the state of `current()`.

        `current()` returns a MembershipState or None.
        """

        def answer(_):
            members = current()
            if members is None:
                return MembersAnswer([], [])
            return MembersAnswer(
                list(members.members_by_vm.values()), list(members.views)
            )

        server.register_handler(MEMBERS_METHOD, MembersRequest, answer)

    def fetch_members(self, random):
        """Return the MembershipState of the first router that knows it, or None.

        The routers are called in an order shuffled by the Random `random`.
        """
        for address in random.sample(self._addresses, len(self._addresses)):
            try:
                answer = self._client.call(
                    address,
                    MEMBERS_METHOD,
                    MembersRequest(),
                    MembersAnswer,
                    CALL_TIMEOUT_MS,
                )
            except PeerUnavailable:
                continue
            if answer.views:
                members_by_vm = {member.vm: member for member in answer.members}
                return MembershipState(members_by_vm, tuple(answer.views))
        return None
