import hashlib

APPLICATION_KEY = "gate-key"
MODEL_NAME = "returns-model"


def make_upstream(name, kind, data_centre, url, target):
    return {
        "name": name,
        "kind": kind,
        "data_centre": data_centre,
        "url": url,
        "models": [target],
        "slots": 4,
        "resumes_streams": kind == "model",
    }


def make_record_document(engine_urls, service_urls, data_centre="north"):
    """Make records with one team, one class, engines of one model and one service.

    If ``service_urls`` is empty, the records have no route.
    """
    upstreams = [
        make_upstream(name, "model", data_centre, url, MODEL_NAME)
        for name, url in engine_urls.items()
    ]
    upstreams += [
        make_upstream(name, "service", data_centre, url, "returns")
        for name, url in service_urls.items()
    ]
    routes = [
        {
            "name": "submissions",
            "service": "returns",
            "path_prefix": "submissions",
            "idempotent": False,
        }
    ]
    return {
        "schema_version": 2,
        "class": [{"name": "gate", "tier": 0, "first_token_target_s": 1.2}],
        "team": [{"name": "agents"}],
        "application": [
            {
                "name": "mart",
                "team": "agents",
                "key_sha256": hashlib.sha256(APPLICATION_KEY.encode()).hexdigest(),
            }
        ],
        "binding": [{"name": "b", "team": "agents", "class": "gate"}],
        "upstream": upstreams,
        "route": routes if service_urls else [],
    }
