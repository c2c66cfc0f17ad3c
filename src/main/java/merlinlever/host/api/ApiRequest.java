package merlinlever.host.api;

/**
 * Authenticated request to the API.
 *
 * @param path path including the query
 */
record ApiRequest(String method, String path, String body) {

    boolean isGet(String expectedPath) {
        return method.equals("GET") && path.equals(expectedPath);
    }

    boolean isPost(String expectedPath) {
        return method.equals("POST") && path.equals(expectedPath);
    }

    boolean isGetBelow(String prefix) {
        return method.equals("GET") && path.startsWith(prefix);
    }
}
