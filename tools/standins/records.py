"""What a stand-in ran, so that tests can compare it with verdicts."""

import attrs


@attrs.define
class Record:
    """Requests that ran and bookings that were made.

    Attributes:
        ran: number of runs by request id.
        booked: number of bookings by the reference in their body.
        cut: requests whose caller left before the answer's end.
    """

    ran: dict[str, int] = attrs.field(factory=dict)
    booked: dict[str, int] = attrs.field(factory=dict)
    cut: list[str] = attrs.field(factory=list)

    def count_run(self, request_id: str) -> None:
        """Count a request."""
        self.ran[request_id] = self.ran.get(request_id, 0) + 1

    def count_booking(self, reference: str) -> None:
        """Count a booking."""
        self.booked[reference] = self.booked.get(reference, 0) + 1

    def merged(self, other: 'Record') -> 'Record':
        """Return the sum of two records."""
        total = Record(dict(self.ran), dict(self.booked), self.cut + other.cut)
        for request_id, count in other.ran.items():
            total.ran[request_id] = total.ran.get(request_id, 0) + count
        for reference, count in other.booked.items():
            total.booked[reference] = total.booked.get(reference, 0) + count
        return total
