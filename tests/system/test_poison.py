from concurrent.futures import ThreadPoolExecutor

from tests.system.streams import (
    CallerStream,
    StreamFleet,
    expected,
    request_body,
    wait_for,
)

POISON = "toxic"


def dead(fleet):
    return [e for e in fleet.engines_by_id.values() if e.popen.poll() is not None]


def refusal(router):
    stream = CallerStream(router, request_body(10, POISON))
    return stream.answer.status, stream.answer.json()["error"]


def read(router, body):
    return CallerStream(router, body).read()


def test_poison_takes_two_engines_and_its_neighbours_are_answered():
    with StreamFleet(routers=3, engines=5) as fleet:
        for engine in fleet.engines_by_id.values():
            engine.fault(poison=POISON)
        routers = list(fleet.routers_by_id.values())
        bodies = [request_body(120, f"question {index}") for index in range(20)]
        with ThreadPoolExecutor(32) as executor:
            neighbours = [
                executor.submit(read, routers[index % 3], body)
                for index, body in enumerate(bodies)
            ]
            poison = read(routers[0], request_body(10, POISON))
            answers = [neighbour.result() for neighbour in neighbours]
        assert poison.error["code"] == "quarantined"
        assert len(dead(fleet)) == 2
        for answer, body in zip(answers, bodies):
            assert (answer.error, answer.done) == (None, True)
            assert answer.text == expected(body)
        for router in routers:
            status, error = refusal(router)
            assert (status, error["code"]) == (422, "quarantined")
            assert error["ran"] == "not_run"
        assert len(dead(fleet)) == 2


def test_poison_sent_again_at_once_through_all_routers():
    with StreamFleet(routers=3, engines=5) as fleet:
        for engine in fleet.engines_by_id.values():
            engine.fault(poison=POISON)
        body = request_body(10, POISON)
        first = read(next(iter(fleet.routers_by_id.values())), body)
        assert first.error["code"] == "quarantined"
        with ThreadPoolExecutor() as executor:
            again = list(executor.map(refusal, fleet.routers_by_id.values()))
        assert {error["code"] for _, error in again} == {"quarantined"}
        assert not wait_for(lambda: len(dead(fleet)) > 2, timeout=1)
