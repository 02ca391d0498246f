"""Gauges that show how current a router's knowledge of the platform's store is."""

from mulberryhub.fleet.state import UNKNOWN_POSITION, Topic


def add_gauges(counters, fleet_state, followers, removals):
    """Serve the age and position of each topic, its call and what is held back."""
    counters.gauge(
        "topic_age_ms",
        "Time since the topic was known to be current, -1 if never",
        {topic: _age(fleet_state, topic) for topic in Topic},
    )
    counters.gauge(
        "topic_position",
        "Offset of the next record, -1 if nothing is known",
        {topic: _position(fleet_state, topic) for topic in Topic},
    )
    counters.gauge(
        "call_pending_ms",
        "Duration of the call to the store that is on its way",
        {follower.topic: follower.call_duration for follower in followers},
    )
    counters.gauge(
        "removals_held",
        "Removals that wait after an outage",
        {Topic.UPSTREAMS: removals.delayed_count},
    )


def _age(fleet_state, topic):
    def age():
        known = fleet_state.age(topic)
        return UNKNOWN_POSITION if known is None else known

    return age


def _position(fleet_state, topic):
    return lambda: fleet_state.position_by_topic[topic]
