// Sends one HTTP/1.1 request on a new connection and prints the status, then the body.
// usage: call IP:PORT METHOD TARGET [-h "Name: value"]... [-b BODYFILE] [-t MS]
// Prints 000 if no whole response came.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iterator>
#include <string>

using clock_type = std::chrono::steady_clock;

static int fail() {
    std::puts("000");
    return 0;
}

int main(int argc, char** argv) {
    if (argc < 4)
        return 2;
    const std::string address = argv[1];
    std::string head = std::string(argv[2]) + " " + argv[3] + " HTTP/1.1\r\n";
    std::string body;
    bool has_body = false;
    int timeout_ms = 2500;
    for (int i = 4; i + 1 < argc; i += 2) {
        if (std::strcmp(argv[i], "-h") == 0)
            head += std::string(argv[i + 1]) + "\r\n";
        else if (std::strcmp(argv[i], "-t") == 0)
            timeout_ms = std::atoi(argv[i + 1]);
        else {
            std::ifstream file(argv[i + 1], std::ios::binary);
            body.assign(std::istreambuf_iterator<char>(file), {});
            has_body = true;
        }
    }
    if (has_body)
        head += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                "\r\n";
    const std::string bytes = head + "Connection: close\r\n\r\n" + body;
    const std::size_t colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<uint16_t>(std::atoi(address.c_str() + colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
        return fail();
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return fail();
        sent += static_cast<std::size_t>(n);
    }
    const auto until = clock_type::now() + std::chrono::milliseconds(timeout_ms);
    std::string answer;
    for (;;) {
        const std::size_t end = answer.find("\r\n\r\n");
        if (end != std::string::npos) {
            const char* length = strcasestr(answer.c_str(), "\r\ncontent-length:");
            const std::size_t size = length == nullptr ? 0 : std::strtoul(length + 17, nullptr, 10);
            if (answer.size() >= end + 4 + size) {
                std::printf("%.3s\n%s\n", answer.c_str() + 9, answer.substr(end + 4, size).c_str());
                return 0;
            }
        }
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(until - clock_type::now())
                .count();
        pollfd one{fd, POLLIN, 0};
        if (left <= 0 || poll(&one, 1, static_cast<int>(left)) <= 0)
            return fail();
        char buffer[65536];
        const ssize_t n = read(fd, buffer, sizeof buffer);
        if (n <= 0)
            return fail();
        answer.append(buffer, static_cast<std::size_t>(n));
    }
}
