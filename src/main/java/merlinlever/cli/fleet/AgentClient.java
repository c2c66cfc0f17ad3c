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

/** Client of the HTTP API of one host agent. Blocks the caller; a request without an answer fails after five seconds. */
final class AgentClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int MAX_ORDER_ATTEMPTS = 3;
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * How an agent answered.
     *
     * @param status of HTTP, {@link #NO_ANSWER} where there was no answer
     * @param body missing where there was no answer
     * @param failure for people; of use where it is not {@link #isOk}
     */
    record AgentResponse(int status, JsonNode body, String failure) {
        static final int NO_ANSWER = 0;

        private static AgentResponse noAnswer(String failure) {
            return new AgentResponse(NO_ANSWER, MissingNode.getInstance(), failure);
        }

        boolean isOk() {
            return status == HttpURLConnection.HTTP_OK;
        }

        boolean isAnswered() {
            return status != NO_ANSWER;
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

    /** A client of another agent with the same secret. */
    AgentClient forAgent(String otherAddress) {
        return otherAddress.equals(address) ? this : new AgentClient(otherAddress, secret);
    }

    String address() {
        return address;
    }

    AgentResponse get(String path) {
        return send(HttpRequest.newBuilder(uri(path)).GET());
    }

    /** Sends an order, again where no answer came: the agent carries an order out once for its id. */
    AgentResponse order(AgentOrder order) {
        AgentResponse response = AgentResponse.noAnswer("");
        for (int attempt = 0; attempt < MAX_ORDER_ATTEMPTS && !response.isAnswered(); attempt++) {
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
            String failure = body.path("error").asText("answers " + response.statusCode());
            return new AgentResponse(response.statusCode(), body, failure);
        } catch (ConnectException e) {
            return AgentResponse.noAnswer("cannot be reached");
        } catch (IOException e) {
            return AgentResponse.noAnswer("gives no answer");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return AgentResponse.noAnswer("interrupted");
        }
    }
}
