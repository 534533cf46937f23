import logging


def before_all(context):
    logging.getLogger("jujubenotch").setLevel(logging.CRITICAL)
