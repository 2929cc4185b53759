"""Encodes and decodes findings about crashes; no I/O."""

from gentiantrestle.quarantine.culprits import Crash
from gentiantrestle.quarantine.evidence import Findings
from gentiantrestle.quarantine.sound import SoundTrait
from gentiantrestle.wire.peer import ttypes


def pack_findings(findings: Findings) -> ttypes.Findings | None:
    """Encode findings; None if there are none."""
    if not findings.crashes and not findings.sound:
        return None
    crashes = [
        ttypes.Crash(
            crash.upstream, crash.at, sorted(map(sorted, crash.suspects))
        )
        for crash in findings.crashes
    ]
    sound = [ttypes.SoundPart(trait, at) for trait, at in findings.sound]
    return ttypes.Findings(crashes, sound)


def unpack_findings(packed: ttypes.Findings | None) -> Findings:
    """Decode findings, or what a sender without any has sent."""
    if packed is None:
        return Findings()
    # On the wire, traits are called after the parts of prompts.
    crashes = (
        Crash(
            crash.upstream, crash.at, frozenset(map(frozenset, crash.prompts))
        )
        for crash in packed.crashes
    )
    sound = (SoundTrait(known.part, known.at) for known in packed.sound)
    return Findings(tuple(crashes), tuple(sound))
