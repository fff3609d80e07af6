// A runner, as PROTOCOL.md describes it: it announces itself to the nodes that serve control,
// serves one request at a time on a connection, and answers with a short event stream. Prints a
// line for each request that it runs or rejects. usage: runner ID IP:PORT SERVICE ZONE CONTROL...
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

static std::mutex lock;

static sockaddr_in address_of(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<uint16_t>(std::atoi(text.c_str() + colon + 1)));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

static long long unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// The value of the first field of this name; empty if there is none.
static std::string field(const std::string& head, const std::string& name) {
    for (std::size_t at = head.find("\r\n"); at != std::string::npos;
         at = head.find("\r\n", at + 2)) {
        const std::size_t begin = at + 2;
        if (strncasecmp(head.c_str() + begin, (name + ":").c_str(), name.size() + 1) != 0)
            continue;
        const std::size_t value = head.find_first_not_of(' ', begin + name.size() + 1);
        return head.substr(value, head.find("\r\n", value) - value);
    }
    return "";
}

static void write_all(int fd, const std::string& bytes) {
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return;
        sent += static_cast<std::size_t>(n);
    }
}

static std::string answer(const std::string& self, const std::string& head,
                          const std::string& body) {
    const std::string id = field(head, "X-Cassiarouter-Request-Id");
    const std::string expected = field(head, "X-Cassiarouter-Expect-Instance");
    const std::string line = head.substr(0, head.find("\r\n"));
    const int rejected = id.empty() ? 400 : !expected.empty() && expected != self ? 421 : 0;
    {
        const std::lock_guard<std::mutex> hold(lock);
        std::printf("%lld %s %s | id %s | tenant %s | body of %zu bytes\n", unix_ms(),
                    rejected == 0     ? "ran"
                    : rejected == 400 ? "rejected (400)"
                                      : "rejected (421)",
                    line.c_str(), id.c_str(), field(head, "X-Cassiarouter-Tenant").c_str(),
                    body.size());
        std::fflush(stdout);
    }
    const std::string echo = id.empty() ? "" : "X-Cassiarouter-Request-Id: " + id + "\r\n";
    if (rejected != 0)
        return "HTTP/1.1 " + std::to_string(rejected) + " Rejected\r\n" + echo +
               "X-Cassiarouter-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    std::string events;
    for (int i = 1; i <= 3; ++i)
        events += "id: " + std::to_string(i) + "\ndata: t" + std::to_string(i) + "\n\n";
    return "HTTP/1.1 200 OK\r\n" + echo + "X-Cassiarouter-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
           "X-Cassiarouter-Instance: " + self +
           "\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\n" +
           "Content-Length: " + std::to_string(events.size()) + "\r\n\r\n" + events;
}

static void serve(int fd, const std::string& self) {
    std::string unread;
    char buffer[65536];
    for (;;) {
        const std::size_t end = unread.find("\r\n\r\n");
        if (end != std::string::npos) {
            const std::string head = unread.substr(0, end + 2);
            const std::size_t size =
                std::strtoul(field(head, "Content-Length").c_str(), nullptr, 10);
            if (unread.size() >= end + 4 + size) {
                const std::string body = unread.substr(end + 4, size);
                unread.erase(0, end + 4 + size);
                write_all(fd, answer(self, head, body));
                continue;
            }
        }
        const ssize_t n = read(fd, buffer, sizeof buffer);
        if (n <= 0)
            break;
        unread.append(buffer, static_cast<std::size_t>(n));
    }
    close(fd);
}

static bool announce(const std::string& node, const std::string& id, const std::string& body) {
    const sockaddr_in to = address_of(node);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    bool done = false;
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
        write_all(fd, "POST /cassiarouter/Instances.Heartbeat/" + id + " HTTP/1.1\r\nHost: " +
                          node + "\r\nContent-Type: application/json\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body);
        pollfd one{fd, POLLIN, 0};
        char buffer[4096];
        done = poll(&one, 1, 1000) > 0 && read(fd, buffer, sizeof buffer) > 12 && buffer[9] == '2';
    }
    close(fd);
    return done;
}

int main(int argc, char** argv) {
    if (argc < 6)
        return 2;
    const std::string id = argv[1];
    const std::string own = argv[2];
    const std::vector<std::string> nodes(argv + 5, argv + argc);
    const std::string born = std::to_string(unix_ms());
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in here = address_of(own);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&here), sizeof here) != 0 ||
        listen(listener, 64) != 0)
        return 2;
    std::thread([&] {
        std::size_t node = 0;
        for (int seq = 1;; ++seq) {
            const std::string body =
                std::string("{\"service\":\"") + argv[3] + "\",\"addr\":\"" + own +
                "\",\"zone\":\"" + argv[4] +
                "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":"
                "\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"seq\":" +
                std::to_string(seq) + ",\"born\":" + born + "}";
            for (std::size_t i = 0;
                 i < nodes.size() && !announce(nodes[node % nodes.size()], id, body); ++i)
                ++node;
            std::this_thread::sleep_for(std::chrono::milliseconds(1200));
        }
    }).detach();
    for (;;) {
        const int fd = accept(listener, nullptr, nullptr);
        if (fd >= 0)
            std::thread(serve, fd, id).detach();
    }
}
