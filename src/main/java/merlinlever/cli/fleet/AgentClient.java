package merlinlever.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Client of the HTTP API of one host agent. Calls block; a request fails if the agent does not respond in time. */
final class AgentClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int MAX_ORDER_ATTEMPTS = 3;
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * The response of an agent, or the failure to get one.
     *
     * @param status HTTP status, or {@link #NO_RESPONSE}
     * @param body body of the response; a missing node if the agent did not respond
     * @param failure human-readable reason of the failure; unused if {@link #isOk}
     */
    record AgentResponse(int status, JsonNode body, String failure) {
        static final int NO_RESPONSE = 0;

        private static AgentResponse noResponse(String failure) {
            return new AgentResponse(NO_RESPONSE, MissingNode.getInstance(), failure);
        }

        boolean isOk() {
            return status == HttpURLConnection.HTTP_OK;
        }

        boolean hasResponse() {
            return status != NO_RESPONSE;
        }
    }

    private final String address;
    private final String secret;
    private final HttpClient http = HttpClient.newBuilder()
            .connectTimeout(TIMEOUT)
            .version(HttpClient.Version.HTTP_1_1)
            .build();

    AgentClient(String address, String secret) {
        this.address = address;
        this.secret = secret;
    }

    /** Returns a client of another agent with the same secret. */
    AgentClient forAgent(String otherAddress) {
        return otherAddress.equals(address) ? this : new AgentClient(otherAddress, secret);
    }

    String address() {
        return address;
    }

    AgentResponse get(String path) {
        return send(HttpRequest.newBuilder(uri(path)).GET());
    }

    /** Sends an order, and retries without a response; the agent executes an order with the same id only once. */
    AgentResponse order(AgentOrder order) {
        AgentResponse response = AgentResponse.noResponse("");
        for (int attempt = 0; attempt < MAX_ORDER_ATTEMPTS && !response.hasResponse(); attempt++) {
            response = send(HttpRequest.newBuilder(uri("/orders"))
                    .POST(HttpRequest.BodyPublishers.ofString(order.json().toString())));
        }
        return response;
    }

    private URI uri(String path) {
        return URI.create("http://" + address + path);
    }

    private AgentResponse send(HttpRequest.Builder request) {
        try {
            HttpResponse<String> response = http.send(
                    request.timeout(TIMEOUT)
                            .header("Authorization", "Bearer " + secret)
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            JsonNode body = JSON.readTree(response.body());
            String failure = body.path("error").asText("responded with status " + response.statusCode());
            return new AgentResponse(response.statusCode(), body, failure);
        } catch (ConnectException e) {
            return AgentResponse.noResponse("cannot be reached");
        } catch (IOException e) {
            return AgentResponse.noResponse("did not respond");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return AgentResponse.noResponse("interrupted");
        }
    }
}
