// Reads the configuration at several nodes, each read on a new connection, and prints a line for
// each whole 200: sent and received (Unix ms), the node, the version. Prints the counts of other
// outcomes at the end. usage: read_config SECONDS READERS PAUSE_MS IP:PORT... A reader picks nodes
// in turn and follows a 307 twice. After a failure or a 5xx it goes on at the next node, after a
// pause that grows from PAUSE_MS to eight times that.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

static std::mutex lock;
static std::map<std::string, int> outcomes;

static long long unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

static std::string read_once(const std::string& node) {
    const std::size_t colon = node.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<uint16_t>(std::atoi(node.c_str() + colon + 1)));
    inet_pton(AF_INET, node.substr(0, colon).c_str(), &to.sin_addr);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    std::string answer;
    const std::string request =
        "GET /cassiarouter/Config.Get HTTP/1.1\r\nHost: " + node + "\r\nConnection: close\r\n\r\n";
    if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0 &&
        send(fd, request.data(), request.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(request.size())) {
        char buffer[65536];
        for (;;) {
            pollfd one{fd, POLLIN, 0};
            if (poll(&one, 1, 1000) <= 0)
                break;
            const ssize_t n = read(fd, buffer, sizeof buffer);
            if (n <= 0)
                break;
            answer.append(buffer, static_cast<std::size_t>(n));
        }
    }
    close(fd);
    return answer;
}

static bool is_whole(const std::string& answer) {
    const std::size_t end = answer.find("\r\n\r\n");
    const char* length = strcasestr(answer.c_str(), "\r\ncontent-length:");
    return end != std::string::npos && length != nullptr &&
           answer.size() >= end + 4 + std::strtoul(length + 17, nullptr, 10);
}

int main(int argc, char** argv) {
    if (argc < 5)
        return 2;
    const long long until = unix_ms() + 1000LL * std::atoi(argv[1]);
    const int readers = std::atoi(argv[2]);
    const int pause_ms = std::atoi(argv[3]);
    const std::vector<std::string> nodes(argv + 4, argv + argc);
    std::vector<std::thread> threads;
    for (int i = 0; i < readers; ++i)
        threads.emplace_back([&, i] {
            std::size_t next = static_cast<std::size_t>(i);
            int pause = pause_ms;
            while (unix_ms() < until) {
                std::string node = nodes[next++ % nodes.size()];
                long long sent = unix_ms();
                std::string answer = read_once(node);
                for (int redirects = 0;
                     redirects < 2 && is_whole(answer) && answer.compare(9, 3, "307") == 0;
                     ++redirects) {
                    const std::size_t at = answer.find("Location: http://") + 17;
                    node = answer.substr(at, answer.find('/', at) - at);
                    sent = unix_ms();
                    answer = read_once(node);
                }
                const std::string status = is_whole(answer) ? answer.substr(9, 3) : "000";
                {
                    const std::lock_guard<std::mutex> hold(lock);
                    ++outcomes[status];
                    const std::size_t at = answer.find("\"version\":");
                    if (status == "200" && at != std::string::npos)
                        std::printf("%lld %lld %s %ld\n", sent, unix_ms(), node.c_str(),
                                    std::strtol(answer.c_str() + at + 10, nullptr, 10));
                }
                pause = status == "200" ? pause_ms : std::min(pause + pause_ms, 8 * pause_ms);
                std::this_thread::sleep_for(std::chrono::milliseconds(pause));
            }
        });
    for (std::thread& one : threads)
        one.join();
    for (const std::pair<const std::string, int>& one : outcomes)
        std::printf("# %s: %d\n", one.first.c_str(), one.second);
}
