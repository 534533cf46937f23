"""Makes the request for a slot from a call."""

from jujubenotch.dispatch.call import Call, Progress, find_target
from jujubenotch.work import WorkRequest


def make_work_request(call: Call, progress: Progress) -> WorkRequest:
    """Make the request for a slot on an upstream.

    :param call: The call.
    :param progress: The call's progress; upstreams that failed are excluded.
    :returns: The request; its times are monotonic, in seconds.
    """
    service_class = call.service_class
    origin = progress.origin
    return WorkRequest(
        request_id=call.request_id,
        target=find_target(call, progress),
        team=call.team.name,
        team_weight=call.team.weight,
        team_limit=call.team.max_in_progress,
        service_class=service_class.name,
        tier=service_class.tier,
        arrived_s=call.arrived_s,
        first_token_by_s=call.arrived_s + service_class.first_token_target_s,
        deadline_s=call.deadline_s,
        max_wait_s=service_class.max_wait_s,
        expected_tokens=call.expected_tokens,
        prefix_key=call.prefix_key,
        prompt_tokens=call.prompt_tokens,
        prefix_tokens=call.prefix_tokens,
        excluded_upstreams=progress.failed_upstreams,
        between_tokens_target_s=service_class.between_tokens_target_s,
        is_idempotent=call.is_idempotent,
        software_version=origin.software_version if origin else None,
        is_resumable=call.can_resume_elsewhere,
    )
