"""Defines how a router reads each topic of the platform's store."""

from mulberryhub.fleet.follower import TopicPlan
from mulberryhub.fleet.release_records import ReleaseOrder
from mulberryhub.fleet.state import Topic

OPERATOR_LONG_POLL_MS = 700  # for the operator's records
MEMBERS_LONG_POLL_MS = 3_000
UPSTREAMS_READ_DELAY_MS = 700  # between reads; upstreams write continually


def topic_plans(ports, fleet_state, removals, save_verdicts):
    """Return the TopicPlans of all topics.

    Records are applied to `fleet_state`, removed upstreams go to `removals`.
    `save_verdicts()` saves the verdicts that a store lost with its newest records.
    """

    def applier(read_record, apply_record):
        def apply(entry):
            record = read_record(entry)
            if record is not None:
                apply_record(record)

        return apply

    def apply_upstream(entry):
        """Apply the entry of an upstream; one without a record names none to use."""
        record = None if entry.value is None else ports.read_upstream(entry)
        if record is None:
            removals.remove(entry.key, entry.offset)
        else:
            fleet_state.apply_stored_upstream(record)

    def remove_unlisted(listing):
        removals.remove_unlisted([entry.key for entry in listing.entries], listing.end)

    def withdraw_unlisted(listing):
        """Withdraw the orders whose records were removed while they were not read."""
        listed = {ports.ordered_service(entry.key) for entry in listing.entries}
        for order in fleet_state.releases.missing_orders(listed, listing.end):
            fleet_state.apply(ReleaseOrder(order.service, "", 0, listing.end))

    return [
        TopicPlan(
            Topic.OPERATOR,
            applier(ports.read_operator, fleet_state.apply),
            on_listing=withdraw_unlisted,
            wait=OPERATOR_LONG_POLL_MS,
            pause=0,
            on_failure=fleet_state.record_unreadable,
        ),
        TopicPlan(
            Topic.UPSTREAMS,
            apply_upstream,
            wait=0,
            pause=UPSTREAMS_READ_DELAY_MS,
            on_listing=remove_unlisted,
            on_answer=removals.record_answer,
            on_failure=removals.record_failure,
            on_reverted=removals.record_reverted,
            is_fully_applied=removals.is_fully_applied,
        ),
        TopicPlan(
            Topic.MEMBERS,
            applier(ports.read_member, fleet_state.apply),
            wait=MEMBERS_LONG_POLL_MS,
            pause=0,
            on_reverted=save_verdicts,
        ),
    ]
