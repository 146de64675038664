"""Records of what stand-ins ran, to be compared with verdicts."""

import attrs


@attrs.define
class Record:
    """Counts of requests and bookings that ran.

    Attributes:
        ran: number of runs by request id.
        booked: number of bookings by the reference in their body.
        cut: ids of requests whose caller left before the answer ended.
    """

    ran: dict[str, int] = attrs.field(factory=dict)
    booked: dict[str, int] = attrs.field(factory=dict)
    cut: list[str] = attrs.field(factory=list)

    def count_run(self, request_id: str) -> None:
        """Count one run of a request."""
        self.ran[request_id] = self.ran.get(request_id, 0) + 1

    def count_booking(self, reference: str) -> None:
        """Count one booking of a reference."""
        self.booked[reference] = self.booked.get(reference, 0) + 1

    def merged(self, other: 'Record') -> 'Record':
        """Return the sum of two records; neither is changed."""
        merged_record = Record(
            dict(self.ran), dict(self.booked), self.cut + other.cut
        )
        for request_id, count in other.ran.items():
            merged_record.ran[request_id] = (
                merged_record.ran.get(request_id, 0) + count
            )
        for reference, count in other.booked.items():
            merged_record.booked[reference] = (
                merged_record.booked.get(reference, 0) + count
            )
        return merged_record
