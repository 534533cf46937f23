"""Data model of the usage reports and of the demand for services."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceDemand:
    """What callers of one data centre ask of a service, as its instances report it.

    The rates and the busy slots are means over some seconds.

    :param arrived_per_s: Requests that arrived, those refused included.
    :param refused_per_s: Requests refused for lack of capacity.
    :param prompt_tokens_per_s: Tokens of the prompts of requests that arrived.
    :param answer_tokens_per_s: Tokens that upstreams sent.
    :param busy_slots: Requests in progress on upstreams, in the mean.
    :param age_s: Time since the oldest of the reports that were added up was made, in
        seconds; infinite without a report.
    :param instances: The number of instances that reported.
    """

    arrived_per_s: float = 0.0
    refused_per_s: float = 0.0
    prompt_tokens_per_s: float = 0.0
    answer_tokens_per_s: float = 0.0
    busy_slots: float = 0.0
    age_s: float = float("inf")
    instances: int = 0
