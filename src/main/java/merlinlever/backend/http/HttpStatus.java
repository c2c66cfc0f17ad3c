package merlinlever.backend.http;

/** The HTTP statuses used in responses to edge nodes. */
enum HttpStatus {
    OK(200, "OK"),
    BAD_REQUEST(400, "Bad Request"),
    NOT_FOUND(404, "Not Found"),
    METHOD_NOT_ALLOWED(405, "Method Not Allowed"),
    LENGTH_REQUIRED(411, "Length Required"),
    CONTENT_TOO_LARGE(413, "Content Too Large"),
    HEAD_TOO_LARGE(431, "Request Header Fields Too Large"),
    INTERNAL_SERVER_ERROR(500, "Internal Server Error"),
    NOT_IMPLEMENTED(501, "Not Implemented"),
    SERVICE_UNAVAILABLE(503, "Service Unavailable");

    private final int code;
    private final String reasonPhrase;

    HttpStatus(int code, String reasonPhrase) {
        this.code = code;
        this.reasonPhrase = reasonPhrase;
    }

    /** Returns the status code in the status line. */
    int code() {
        return code;
    }

    /** Returns the reason phrase in the status line. */
    String reasonPhrase() {
        return reasonPhrase;
    }
}
