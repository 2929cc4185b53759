"""Availability zones and their regions."""

from typing import NamedTuple


class Topology(NamedTuple):
    """The zone of this instance, and the region of each zone."""

    zone: str
    regions: dict[str, str]

    def is_near(self, zone: str) -> bool:
        """Return whether a zone lies in the region of this instance."""
        return zone == self.zone or (
            self.regions.get(zone) == self.regions.get(self.zone)
        )
