"""Sends reports of a backend server to the WSGI application that receives them."""

import io


def send_report(app, method, instance, content=b""):
    """Return the status of the answer to one request of a backend server."""
    statuses = []
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": f"/rattanworks/instances/{instance}",
        "CONTENT_LENGTH": str(len(content)),
        "wsgi.input": io.BytesIO(content),
    }
    app(environ, lambda status, headers: statuses.append(int(status[:3])))
    return statuses[0]
