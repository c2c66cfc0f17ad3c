package merlinlever.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Talks to one agent. */
final class AgentClient {

    private static final Duration PATIENCE = Duration.ofSeconds(5);
    private static final int TRIES = 3;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** What an agent answered; status 0 where it did not, and then why. */
    record AgentResponse(int status, JsonNode body, String why) {}

    private final String address;
    private final String secret;
    private final HttpClient client = HttpClient.newBuilder()
            .connectTimeout(PATIENCE)
            .version(HttpClient.Version.HTTP_1_1)
            .build();

    AgentClient(String address, String secret) {
        this.address = address;
        this.secret = secret;
    }

    /** The same for another agent. */
    AgentClient at(String other) {
        return other.equals(address) ? this : new AgentClient(other, secret);
    }

    String address() {
        return address;
    }

    AgentResponse get(String path) {
        return send(HttpRequest.newBuilder(uri(path)).GET());
    }

    /** Sent again where no answer came: an order is done once for its id. */
    AgentResponse order(JsonNode order) {
        AgentResponse answer = null;
        for (int i = 0; i < TRIES && (answer == null || answer.status == 0); i++) {
            answer = send(
                    HttpRequest.newBuilder(uri("/orders")).POST(HttpRequest.BodyPublishers.ofString(order.toString())));
        }
        return answer;
    }

    private URI uri(String path) {
        return URI.create("http://" + address + path);
    }

    private AgentResponse send(HttpRequest.Builder request) {
        try {
            HttpResponse<String> response = client.send(
                    request.timeout(PATIENCE)
                            .header("Authorization", "Bearer " + secret)
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            JsonNode body = JSON.readTree(response.body());
            return new AgentResponse(
                    response.statusCode(), body, body.path("error").asText("answers " + response.statusCode()));
        } catch (IOException e) {
            return new AgentResponse(
                    0, null, e instanceof java.net.ConnectException ? "cannot be reached" : "gives no answer");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new AgentResponse(0, null, "interrupted");
        }
    }
}
