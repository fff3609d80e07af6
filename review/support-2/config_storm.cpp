// Sends configurations one after the other, as an operator does: each to the node that acknowledged
// the last one, or, without a clear answer within a second, unchanged to the next node. Prints a
// line for every 25 acknowledgements. usage: config_storm ROUTES FIRST_VERSION CHANGES GAP_MS
// SECONDS IP:PORT...
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <thread>
#include <vector>

using clock_type = std::chrono::steady_clock;

static std::string status_of(const std::string& node, const std::string& body) {
    const std::size_t colon = node.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<uint16_t>(std::atoi(node.c_str() + colon + 1)));
    inet_pton(AF_INET, node.substr(0, colon).c_str(), &to.sin_addr);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const std::string bytes =
        "POST /cassiarouter/Config.Put HTTP/1.1\r\nHost: " + node +
        "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\nConnection: close\r\n\r\n" + body;
    std::string answer;
    bool sent_all = connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
    for (std::size_t sent = 0; sent_all && sent < bytes.size();) {
        const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        sent_all = n > 0;
        sent += static_cast<std::size_t>(std::max<ssize_t>(n, 0));
    }
    while (sent_all && answer.find("\r\n\r\n") == std::string::npos) {
        pollfd one{fd, POLLIN, 0};
        char buffer[4096];
        const ssize_t n = poll(&one, 1, 1000) > 0 ? read(fd, buffer, sizeof buffer) : 0;
        if (n <= 0)
            break;
        answer.append(buffer, static_cast<std::size_t>(n));
    }
    close(fd);
    return answer.find("\r\n\r\n") == std::string::npos ? "000" : answer.substr(9, 3);
}

int main(int argc, char** argv) {
    if (argc < 7)
        return 2;
    const int routes = std::atoi(argv[1]);
    const long first = std::atol(argv[2]);
    const long changes = std::atol(argv[3]);
    const std::chrono::milliseconds gap(std::atoi(argv[4]));
    const auto until = clock_type::now() + std::chrono::seconds(std::atoi(argv[5]));
    const std::vector<std::string> nodes(argv + 6, argv + argc);
    std::string rest;
    for (int i = 1; i < routes; ++i)
        rest += ",{\"name\":\"r-x" + std::to_string(i) + "zj\",\"host\":\"ficu" +
                std::to_string(i % 97) + ".example\",\"pathPrefix\":\"/lohu" + std::to_string(i) +
                "/\",\"kind\":\"stream\",\"timeoutMs\":5000,\"sloMs\":300,\"priority\":0,\"split\":"
                "[{\"service\":"
                "\"huvo11a\",\"weight\":90},{\"service\":\"wuno96b\",\"weight\":10}],"
                "\"maxAttempts\":2,\"sticky\":true,"
                "\"resumable\":true,\"gapSloMs\":400}";
    std::size_t node = 0;
    long acknowledged = 0;
    for (long i = 0; i < changes && clock_type::now() < until; ++i) {
        const auto began = clock_type::now();
        // Each version changes the time-out of the first route.
        const std::string body =
            "{\"version\":" + std::to_string(first + i) +
            ",\"routes\":[{\"name\":\"r-i9n73hh\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/"
            "pufi791/\",\"kind\":\"safe\","
            "\"timeoutMs\":" +
            std::to_string(1000 + i % 500) +
            ",\"sloMs\":300,\"priority\":0,\"service\":\"huvo11a\",\"maxAttempts\":1}" + rest +
            "],\"services\":[{\"name\":\"huvo11a\",\"healthPath\":\"/"
            "healthz\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":"
            "false},{\"name\":\"wuno96b\",\"healthPath\":\"/"
            "healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],"
            "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":"
            "3000,\"idleTimeoutMs\":15000}}";
        std::chrono::milliseconds pause(50);
        while (clock_type::now() < until) {
            const std::string status = status_of(nodes[node], body);
            if (status == "200") {
                ++acknowledged;
                break;
            }
            node = (node + 1) % nodes.size();
            if (status == "307")
                continue;
            std::this_thread::sleep_for(pause);
            pause = std::min(pause * 2, std::chrono::milliseconds(400));
        }
        if (acknowledged % 25 == 0 || i + 1 == changes) {
            std::printf("%ld configurations of %zu bytes acknowledged\n", acknowledged,
                        body.size());
            std::fflush(stdout);
        }
        std::this_thread::sleep_until(began + gap);
    }
    std::printf("%ld configurations acknowledged in all\n", acknowledged);
}
