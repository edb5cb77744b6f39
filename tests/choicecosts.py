"""Measures how long the choice among 28 endpoints takes.

`python -m tests.choicecosts` prints the least of 9 means of 500 choices.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Final

from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.coordination.placement import choose_engine, choose_plain
from tests.deployments import a_prompt, an_engine, an_entry

ENDPOINTS: Final = 28
CHOICES: Final = 500


def mean_us(choose: Callable[[], object]) -> float:
    """Return the mean time of a choice, in microseconds."""
    began_s = time.perf_counter()
    for _ in range(CHOICES):
        choose()
    return (time.perf_counter() - began_s) / CHOICES * 1e6


def main() -> None:
    """Measure with equal and with uneven endpoints."""
    for uneven in (False, True):
        rng = random.Random(1)
        engines = [an_engine(f"e-{n}", 10**6) for n in range(ENDPOINTS)]
        plain = [
            Endpoint(an_entry(f"d-{n}"), None, rng.randrange(9))
            for n in range(ENDPOINTS)
        ]
        for number in range(300):
            view = engines[number % ENDPOINTS].view
            assert view is not None
            prompt = a_prompt((number % 6, 3000), (1000 + number, 800))
            view.place(number, prompt, 4e4, 0.0, 1e9)
            if number % 3:
                view.start(number, 0.0)
        for endpoint in (*engines, *plain) if uneven else ():
            speed = endpoint.speed
            speed.measured = speed.lasting = rng.choice((0.6, 1.0, 1.6))
            speed.told(1.5, 0.0)
        prompt = a_prompt((2, 3000), (10**6, 800))
        engine_us = min(
            mean_us(lambda: choose_engine(engines, prompt, 4e4, 0.05))  # noqa: B023
            for _ in range(9)
        )
        plain_us = min(
            mean_us(lambda: choose_plain(plain, "z", rng, 0.05))  # noqa: B023
            for _ in range(9)
        )
        kind = "uneven" if uneven else "equal"
        print(f"{kind}: engine {engine_us:.1f} us, plain {plain_us:.1f} us")


if __name__ == "__main__":
    main()
