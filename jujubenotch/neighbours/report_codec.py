"""Encodes the counts of processes.

A message names each team and service once, as a reader sends the counts of many
processes for the same teams.
"""

from collections.abc import Sequence
from dataclasses import astuple
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, Strict

from jujubenotch.usage import ProcessReport, ServiceTotals

# More than any clock, count or duration; larger numbers are a fault of the sender.
MAX_NUMBER = 1 << 53
TIME_DIGITS = 3
NAME_LENGTH = 255

Number = Annotated[int, Field(ge=0, le=MAX_NUMBER)]
Seconds = Annotated[float, Field(ge=0, le=MAX_NUMBER, allow_inf_nan=False)]
Name = Annotated[str, Field(max_length=NAME_LENGTH)]
# JSON has arrays only, which a strict model takes for lists.
WindowCounts = Annotated[tuple[Number, list[Number]], Strict(False)]
Totals = Annotated[tuple[Number, Number, Number, Number, Seconds], Strict(False)]


class _ReportDocument(BaseModel):
    """The counts of one process; the lists follow the message's lists of names."""

    model_config = ConfigDict(extra="ignore", strict=True)

    process: Name
    data_centre: Name
    true_time_s: Seconds
    up_s: Seconds
    age_s: Seconds
    windows: list[WindowCounts] = []
    services: list[Totals] = []


class ReportsDocument(BaseModel):
    """The counts of processes, with the names of their teams and services."""

    model_config = ConfigDict(extra="ignore", strict=True)

    teams: list[Name] = []
    services: list[Name] = []
    processes: list[_ReportDocument] = []


def encode_reports(reports: Sequence[ProcessReport]) -> dict:
    """Encode the reports of processes as a document.

    :param reports: The reports.
    """
    teams = sorted(
        {
            team
            for each in reports
            for counts in each.windows.values()
            for team in counts
        }
    )
    services = sorted({service for each in reports for service in each.services})
    return {
        "teams": teams,
        "services": services,
        "processes": [_encode_report(each, teams, services) for each in reports],
    }


def _encode_report(report, teams, services):
    return {
        "process": report.process,
        "data_centre": report.data_centre,
        "true_time_s": round(report.true_time_s, TIME_DIGITS),
        "up_s": round(report.up_s, TIME_DIGITS),
        "age_s": round(max(0.0, report.age_s), TIME_DIGITS),
        "windows": [
            (window, [counts.get(team, 0) for team in teams])
            for window, counts in report.windows.items()
        ],
        "services": [
            _encode_totals(report.services.get(service, ServiceTotals()))
            for service in services
        ],
    }


def _encode_totals(totals):
    *counts, slot_s = astuple(totals)
    return (*counts, round(slot_s, TIME_DIGITS))


def decode_reports(document: ReportsDocument | None) -> tuple[ProcessReport, ...]:
    """Decode the reports of processes.

    :param document: The document; ``None`` for a message without reports.
    :returns: The reports, without teams and services that were not used.
    :raises ValueError: A list has another length than the names.
    """
    if document is None:
        return ()
    return tuple(_decode_report(document, each) for each in document.processes)


def _decode_report(document, report):
    windows = {}
    for window, counts in report.windows:
        pairs = zip(document.teams, counts, strict=True)
        windows[window] = {team: count for team, count in pairs if count}
    services = {}
    for service, totals in zip(document.services, report.services, strict=True):
        if any(totals):
            arrived, refused, prompt_tokens, answer_tokens, slot_s = totals
            services[service] = ServiceTotals(
                arrived=arrived,
                refused=refused,
                prompt_tokens=prompt_tokens,
                answer_tokens=answer_tokens,
                slot_s=slot_s,
            )
    return ProcessReport(
        process=report.process,
        data_centre=report.data_centre,
        true_time_s=report.true_time_s,
        up_s=report.up_s,
        age_s=report.age_s,
        windows=windows,
        services=services,
    )
