// Stand-ins for the review: clients, the operator, servers ("runners"), and the platform that
// starts and stops the project's programs. POSIX and the C++ library only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using fields = std::vector<std::pair<std::string, std::string>>;

inline std::int64_t steady_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// The record of a run: what was sent, answered and run, with the time since the start.
class record_file {
public:
    void open(const std::string& path) {
        file_ = std::fopen(path.c_str(), "w");
        started_ = steady_ms();
    }
    void write(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        std::lock_guard<std::mutex> lock(mutex_);
        if (file_ == nullptr)
            return;
        std::fprintf(file_, "%8.3f ", static_cast<double>(steady_ms() - started_) / 1000);
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_ = nullptr;
    std::int64_t started_ = 0;
};

inline record_file record;

inline std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

struct message {
    std::string start; ///< request line or status line
    fields headers;
    std::string body;
    int status = 0;        ///< of a response; 0: no whole response came
    std::string how_ended; ///< why there is no whole response

    std::string find(const std::string& name) const {
        for (const auto& one : headers) {
            if (lower(one.first) == lower(name))
                return one.second;
        }
        return "";
    }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const {
        const std::size_t first = start.find(' ') + 1;
        return start.substr(first, start.find(' ', first) - first);
    }
};

/// A connection with a buffer of what was read and not used yet.
class connection {
public:
    explicit connection(int descriptor) : descriptor_(descriptor) {}
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    static std::shared_ptr<connection> connect(const std::string& address, int timeout_ms) {
        sockaddr_in where{};
        where.sin_family = AF_INET;
        const std::size_t colon = address.rfind(':');
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &where.sin_addr);
        where.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        int one = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        const int started =
            ::connect(descriptor, reinterpret_cast<sockaddr*>(&where), sizeof where);
        if (started != 0 && errno == EINPROGRESS) {
            pollfd waited{descriptor, POLLOUT, 0};
            int problem = 0;
            socklen_t size = sizeof problem;
            if (poll(&waited, 1, timeout_ms) == 1)
                getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &problem, &size);
            else
                problem = ETIMEDOUT;
            if (problem != 0) {
                ::close(descriptor);
                return nullptr;
            }
        } else if (started != 0) {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_shared<connection>(descriptor);
    }

    void close() {
        if (descriptor_ >= 0)
            ::close(descriptor_);
        descriptor_ = -1;
    }
    void shut() { ::shutdown(descriptor_, SHUT_RDWR); }

    bool send(const std::string& bytes, int timeout_ms = 5000) {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t count = ::send(descriptor_, bytes.data() + done, bytes.size() - done,
                                         MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0) {
                done += static_cast<std::size_t>(count);
                continue;
            }
            if (count < 0 && errno == EINTR)
                continue;
            pollfd waited{descriptor_, POLLOUT, 0};
            if (errno != EAGAIN || poll(&waited, 1, timeout_ms) != 1)
                return false;
        }
        return true;
    }

    /// \returns false at the end, an error or `until` (steady ms).
    bool fill(std::int64_t until) {
        for (;;) {
            char bytes[16384];
            const ssize_t count = ::recv(descriptor_, bytes, sizeof bytes, MSG_DONTWAIT);
            if (count > 0) {
                buffer.append(bytes, static_cast<std::size_t>(count));
                return true;
            }
            if (count == 0) {
                ended_with = "closed";
                return false;
            }
            if (errno == EINTR)
                continue;
            if (errno != EAGAIN) {
                ended_with = "reset";
                return false;
            }
            const std::int64_t left = until - steady_ms();
            pollfd waited{descriptor_, POLLIN, 0};
            if (left <= 0 || poll(&waited, 1, static_cast<int>(left)) != 1) {
                ended_with = "timeout";
                return false;
            }
        }
    }

    /// Whether the other end has closed; what it sent meanwhile is kept.
    bool is_gone() {
        char byte = 0;
        const ssize_t count = ::recv(descriptor_, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
    }

    std::string buffer;
    std::string ended_with;

private:
    int descriptor_;
};

inline bool read_head(connection& from, message& out, std::int64_t until) {
    std::size_t end = 0;
    while ((end = from.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!from.fill(until))
            return false;
    }
    std::istringstream lines(from.buffer.substr(0, end + 2));
    from.buffer.erase(0, end + 4);
    std::string line;
    std::getline(lines, out.start);
    if (!out.start.empty() && out.start.back() == '\r')
        out.start.pop_back();
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
            ++value;
        out.headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
    return true;
}

inline bool read_exactly(connection& from, std::size_t bytes, std::string& out,
                         std::int64_t until) {
    while (from.buffer.size() < bytes) {
        if (!from.fill(until))
            return false;
    }
    out.append(from.buffer, 0, bytes);
    from.buffer.erase(0, bytes);
    return true;
}

inline bool read_chunks(connection& from, std::string& out, std::int64_t until) {
    for (;;) {
        std::size_t end = 0;
        while ((end = from.buffer.find("\r\n")) == std::string::npos) {
            if (!from.fill(until))
                return false;
        }
        const std::size_t size = std::strtoul(from.buffer.c_str(), nullptr, 16);
        from.buffer.erase(0, end + 2);
        std::string ending;
        if (!read_exactly(from, size, out, until) || !read_exactly(from, 2, ending, until))
            return false;
        if (size == 0)
            return true;
    }
}

inline bool read_body(connection& from, message& out, bool is_response, std::int64_t until) {
    const std::string length = out.find("Content-Length");
    if (lower(out.find("Transfer-Encoding")) == "chunked")
        return read_chunks(from, out.body, until);
    if (!length.empty())
        return read_exactly(from, std::stoul(length), out.body, until);
    if (!is_response)
        return true;
    while (from.fill(until)) {
    }
    out.body.swap(from.buffer);
    return from.ended_with == "closed";
}

inline std::string request_bytes(const std::string& method, const std::string& target,
                                 const fields& headers, const std::string& body) {
    std::string out = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& one : headers)
        out += one.first + ": " + one.second + "\r\n";
    if (!body.empty() || method == "POST")
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + "\r\n" + body;
}

/// One request on a connection of its own.
inline message call(const std::string& address, const std::string& method,
                    const std::string& target, const fields& headers, const std::string& body,
                    int timeout_ms) {
    const std::int64_t until = steady_ms() + timeout_ms;
    message out;
    const std::shared_ptr<connection> link =
        connection::connect(address, std::min(timeout_ms, 1000));
    if (!link) {
        out.how_ended = "no connection";
        return out;
    }
    if (!link->send(request_bytes(method, target, headers, body), timeout_ms) ||
        !read_head(*link, out, until) || !read_body(*link, out, true, until)) {
        out.how_ended = link->ended_with.empty() ? "not sent" : link->ended_with;
        return out;
    }
    out.status = std::atoi(out.start.substr(out.start.find(' ') + 1).c_str());
    return out;
}

/// Asks control nodes as the operator and the runners do: in turn, following a 307 twice.
inline message call_control(const std::vector<std::string>& nodes, std::size_t first,
                            const std::string& method, const std::string& target,
                            const std::string& body, int timeout_ms) {
    message out;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        std::string address = nodes[(first + i) % nodes.size()];
        std::string path = target;
        for (int hop = 0; hop < 3; ++hop) {
            out = call(address, method, path,
                       {{"Host", address}, {"Content-Type", "application/json"}}, body, timeout_ms);
            const std::string location = out.find("Location");
            if (out.status != 307 || location.compare(0, 7, "http://") != 0)
                break;
            const std::size_t slash = location.find('/', 7);
            address = location.substr(7, slash - 7);
            path = location.substr(slash);
        }
        if (out.status >= 200 && out.status < 300)
            return out;
        if (out.status >= 400 && out.status < 500 && out.status != 408 && out.status != 429)
            return out;
    }
    return out;
}

inline std::string base64(const std::string& bytes) {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group =
                group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63];
    }
    return out;
}

/// The text behind `"name":"` in a flat piece of JSON without escapes.
inline std::string json_text(const std::string& json, const std::string& name,
                             std::size_t from = 0) {
    const std::string mark = "\"" + name + "\":\"";
    const std::size_t at = json.find(mark, from);
    if (at == std::string::npos)
        return "";
    return json.substr(at + mark.size(), json.find('"', at + mark.size()) - at - mark.size());
}

inline long json_number(const std::string& json, const std::string& name) {
    const std::string mark = "\"" + name + "\":";
    const std::size_t at = json.find(mark);
    return at == std::string::npos ? -1 : std::atol(json.c_str() + at + mark.size());
}

// ---------------------------------------------------------------------------------- the platform

/// The project's programs, each a process of its own on a loopback address.
class fleet {
public:
    /// \param root of the repository. The variable CASE_FOLDER names a folder for settings and
    /// disks.
    explicit fleet(std::string root) : root_(std::move(root)) {
        folder_ = std::getenv("CASE_FOLDER");
        std::random_device random;
        do {
            net_ = "127." + std::to_string(20 + random() % 200) + "." +
                   std::to_string(1 + random() % 250) + ".";
        } while (!is_free(net_ + "1", 9000) || !is_free(net_ + "21", 9200));
    }
    /// Ends all processes, and this one with `code`.
    [[noreturn]] void finish(int code) {
        for (const auto& one : pids_) {
            kill(one.second, SIGCONT);
            kill(one.second, SIGKILL);
            waitpid(one.second, nullptr, 0);
        }
        std::fflush(nullptr);
        _exit(code);
    }

    const std::string& net() const { return net_; }
    std::vector<std::string> control() const {
        return {net_ + "1:9000", net_ + "2:9000", net_ + "3:9000"};
    }
    std::string front(int number) const { return net_ + std::to_string(20 + number) + ":9200"; }
    std::string ready(int number) const { return net_ + std::to_string(20 + number) + ":9201"; }

    /// core-N on .N, store-N on .1N, front-N on .2N; in the zone named.
    void start(const std::string& name, const std::string& zone, bool first_start) {
        const int number = std::atoi(name.substr(name.find('-') + 1).c_str());
        const std::string kind = name.substr(0, name.find('-'));
        const int host = kind == "core" ? number : (kind == "store" ? 10 : 20) + number;
        const std::string role = kind == "core" ? "control" : kind == "store" ? "work" : "gateway";
        zones_[name] = zone;
        std::map<std::string, std::string> values;
        values["node"] = name;
        values["ip"] = net_ + std::to_string(host);
        values["zone"] = zone;
        values["region"] = "region";
        values["listen.control"] = values["ip"] + ":9000";
        values["listen.directory"] = values["ip"] + ":9001";
        values["listen.front"] = values["ip"] + ":9200";
        values["listen.readyAddr"] = values["ip"] + ":9201";
        values["portRange.0"] = "9100";
        values["portRange.1"] = "9101";
        values["dataDir"] = data(name);
        values["bootstrap"] = first_start ? "true" : "false";
        values["bounds.graceS"] = "8";
        values["bounds.statusS"] = "120";
        values["limits.memoryMb"] = kind == "store" ? "300" : "260";
        values["tolerate.machines"] = "1";
        std::ofstream(folder_ + "/" + name + ".toml")
            << render(root_ + "/platform/settings/" + role + ".toml", values);
        if (kind != "front")
            std::filesystem::create_directories(data(name));
        const std::string program =
            root_ + "/target/bin/" + (kind == "front" ? "platform-gateway" : "platform-keeper");
        const std::string config = folder_ + "/" + name + ".toml";
        const std::string log = folder_ + "/" + name + ".log";
        const pid_t parent = getpid();
        const pid_t child = fork();
        if (child == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent)
                _exit(1);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(out, 1);
            dup2(out, 2);
            if (chdir(root_.c_str()) != 0)
                _exit(1);
            execl(program.c_str(), program.c_str(), "--config", config.c_str(),
                  static_cast<char*>(nullptr));
            _exit(127);
        }
        pids_[name] = child;
        record.write("platform: %s starts, bootstrap=%d", name.c_str(), first_start ? 1 : 0);
    }

    void signal(const std::string& name, int number) {
        record.write("platform: signal %d to %s", number, name.c_str());
        kill(pids_.at(name), number);
    }
    /// Kills a process and waits until it is gone.
    void end(const std::string& name) {
        signal(name, SIGKILL);
        waitpid(pids_.at(name), nullptr, 0);
        pids_.erase(name);
    }
    bool is_up(const std::string& name) {
        return pids_.count(name) > 0 && waitpid(pids_.at(name), nullptr, WNOHANG) == 0;
    }
    /// Starts again, after a short delay, the processes that have ended by themselves.
    /// \returns their names.
    std::vector<std::string> restart_ended() {
        std::vector<std::string> ended;
        for (const auto& one : pids_) {
            int status = 0;
            if (waitpid(one.second, &status, WNOHANG) != one.second)
                continue;
            ended.push_back(one.first);
            record.write("platform: %s has ended by itself, %s %d", one.first.c_str(),
                         WIFSIGNALED(status) ? "signal" : "status",
                         WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
        }
        if (!ended.empty())
            sleep_ms(300);
        for (const std::string& name : ended)
            start(name, zones_.at(name), false);
        return ended;
    }
    /// The machine loses its disk: the process is killed and its folder emptied. It is back at its
    /// address with an empty disk after `down_ms`.
    void lose_disk(const std::string& name, int down_ms) {
        end(name);
        std::filesystem::rename(data(name), data(name) + ".lost" + std::to_string(steady_ms()));
        record.write("platform: %s has lost its disk", name.c_str());
        sleep_ms(down_ms);
        start(name, zones_.at(name), false);
    }
    /// The machine is taken away with its disk.
    void remove(const std::string& name) {
        end(name);
        std::filesystem::remove_all(data(name));
        record.write("platform: %s is removed with its disk", name.c_str());
    }

    /// 3 core, `stores` store and `fronts` front machines in three zones.
    void start_all(int stores, int fronts) {
        for (int i = 1; i <= 3; ++i)
            start("core-" + std::to_string(i), "z" + std::to_string(i), true);
        for (int i = 1; i <= stores; ++i)
            start("store-" + std::to_string(i), "z" + std::to_string((i - 1) % 3 + 1), true);
        for (int i = 1; i <= fronts; ++i)
            start("front-" + std::to_string(i), "z" + std::to_string((i - 1) % 3 + 1), true);
    }

    /// Sends a configuration until it is acknowledged.
    bool put(const std::string& configuration, int limit_ms = 15000) {
        const std::int64_t until = steady_ms() + limit_ms;
        for (std::size_t turn = 0; steady_ms() < until; ++turn) {
            const message got = call_control(control(), turn, "POST", "/cassiarouter/Config.Put",
                                             configuration, 2000);
            if (got.status == 200) {
                record.write("operator: configuration %ld acknowledged",
                             json_number(configuration, "version"));
                return true;
            }
            sleep_ms(200);
        }
        record.write("operator: configuration %ld not acknowledged",
                     json_number(configuration, "version"));
        return false;
    }

    bool wait_ready(int fronts, int limit_ms = 15000) {
        const std::int64_t until = steady_ms() + limit_ms;
        for (int i = 1; i <= fronts; ++i) {
            while (call(ready(i), "GET", "/cassiarouter/readyz", {{"Host", "x"}}, "", 500).status !=
                   200) {
                if (steady_ms() > until)
                    return false;
                sleep_ms(100);
            }
        }
        return true;
    }

    std::string data(const std::string& name) const { return folder_ + "/data/" + name; }
    std::string log(const std::string& name) const { return folder_ + "/" + name + ".log"; }

private:
    static bool is_free(const std::string& ip, int port) {
        sockaddr_in where{};
        where.sin_family = AF_INET;
        inet_pton(AF_INET, ip.c_str(), &where.sin_addr);
        where.sin_port = htons(static_cast<std::uint16_t>(port));
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        const bool bound = bind(descriptor, reinterpret_cast<sockaddr*>(&where), sizeof where) == 0;
        ::close(descriptor);
        return bound;
    }

    /// Fills in the placeholders and sections of a settings template.
    std::string render(const std::string& path, const std::map<std::string, std::string>& values) {
        std::ifstream file(path);
        std::stringstream text;
        text << file.rdbuf();
        return render_text(text.str(), values);
    }
    std::string render_text(const std::string& text,
                            const std::map<std::string, std::string>& values) {
        std::string out;
        std::size_t at = 0;
        for (;;) {
            const std::size_t open = text.find("{{", at);
            out += text.substr(at, open == std::string::npos ? open : open - at);
            if (open == std::string::npos)
                return out;
            const std::size_t close = text.find("}}", open);
            const std::string name = text.substr(open + 2, close - open - 2);
            at = close + 2;
            if (name[0] != '#') {
                auto found = values.find(name);
                out += found == values.end() ? "" : found->second;
                continue;
            }
            const std::string ending = "{{/" + name.substr(1) + "}}";
            const std::size_t end = text.find(ending, at);
            const std::string inner = text.substr(at, end - at);
            at = end + ending.size();
            if (name == "#seeds") {
                for (int i = 1; i <= 3; ++i)
                    out += "\"" + net_ + std::to_string(i) + ":9000\"" + (i < 3 ? "," : "");
            } else if (values.count(name.substr(1)) > 0) {
                out += render_text(inner, values);
            }
        }
    }

    std::string root_;
    std::string folder_;
    std::string net_;
    std::map<std::string, pid_t> pids_;
    std::map<std::string, std::string> zones_;
};

// ------------------------------------------------------------------------------------- runners

struct runner_settings {
    std::string id;
    std::string service;
    std::string address;
    std::string zone = "z1";
    int slots = 8;
    int queue = 4;
    int events = 20;   ///< of a stream
    int event_ms = 10; ///< between two events
    int work_ms = 20;  ///< of a request that isn't a stream
    int heartbeat_ms = 1200;
};

/// A server as the pages describe it: a stream of events for paths that hold a mark, else one
/// answer.
class runner {
public:
    /// Called for each answer that says that the request was not run. \returns whether a second
    /// copy of it follows late, at the point where the connection's next answer is expected.
    std::function<bool()> repeats_rejection = [] { return false; };
    /// Called for each whole answer. \returns the length that its head gives, or an empty text for
    /// the right one.
    std::function<std::string()> spoils_length = [] { return std::string(); };
    std::function<bool(const message&)> is_stream = [](const message&) { return false; };
    /// Data of an event of a stream.
    static std::string event_data(const std::string& request, int number) {
        return "t" + std::to_string(number) + "." + request;
    }

    runner(runner_settings settings, std::vector<std::string> control)
        : settings_(std::move(settings)), control_(std::move(control)), born_(unix_ms()) {}

    bool open() {
        sockaddr_in where{};
        where.sin_family = AF_INET;
        const std::string& address = settings_.address;
        inet_pton(AF_INET, address.substr(0, address.rfind(':')).c_str(), &where.sin_addr);
        where.sin_port =
            htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
        listening_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int one = 1;
        setsockopt(listening_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        if (bind(listening_, reinterpret_cast<sockaddr*>(&where), sizeof where) != 0 ||
            listen(listening_, 256) != 0)
            return false;
        std::thread([this] { accept_all(); }).detach();
        std::thread([this] { beat(); }).detach();
        return true;
    }

    int running() const { return running_; }
    int waiting() const { return waiting_; }
    int acknowledged() const { return acknowledged_; }
    /// How often each request id began to run here.
    std::map<std::string, int> runs() {
        std::lock_guard<std::mutex> lock(mutex_);
        return runs_;
    }
    /// Ids at work now.
    std::multiset<std::string> at_work() {
        std::lock_guard<std::mutex> lock(mutex_);
        return at_work_;
    }
    std::int64_t last_end() const { return last_end_; }
    int rejections() const { return rejections_; }
    int repeated_rejections() const { return repeated_; }
    /// Counts answers from here on.
    void mark() { answers_ = 0; }
    int answers_since_mark() const { return answers_; }
    const runner_settings& settings() const { return settings_; }

private:
    void beat() {
        for (std::size_t turn = std::hash<std::string>()(settings_.id);;) {
            std::ostringstream body;
            body << "{\"service\":\"" << settings_.service << "\",\"addr\":\"" << settings_.address
                 << "\",\"zone\":\"" << settings_.zone
                 << "\",\"version\":\"v1\",\"slots\":" << settings_.slots
                 << ",\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":" << ++sequence_
                 << ",\"born\":" << born_ << "}";
            const message got =
                call_control(control_, turn, "POST",
                             "/cassiarouter/Instances.Heartbeat/" + settings_.id, body.str(), 1000);
            if (got.status == 200)
                ++acknowledged_;
            else
                ++turn;
            sleep_ms(got.status == 200 ? settings_.heartbeat_ms : 200);
        }
    }

    void accept_all() {
        for (;;) {
            const int descriptor = accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            int one = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            std::thread([this, descriptor] { serve(descriptor); }).detach();
        }
    }

    std::string head(int status, const std::string& request, bool not_run) const {
        std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
        out += "X-Cassiarouter-Stamp: " + settings_.id + ".1\r\n";
        if (!request.empty())
            out += "X-Cassiarouter-Request-Id: " + request + "\r\n";
        if (not_run)
            out += "X-Cassiarouter-Not-Run: 1\r\n";
        out += "X-Cassiarouter-Instance: " + settings_.id + "\r\n";
        out += "X-Cassiarouter-Instance-Load: " + std::to_string(running_) + "," +
               std::to_string(waiting_) + "," + std::to_string(settings_.slots) + "\r\n";
        return out + "Keep-Alive: timeout=5\r\n";
    }
    static std::string whole(const std::string& head, const std::string& body) {
        return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    void serve(int descriptor) {
        connection link(descriptor);
        std::string late; ///< a second answer that comes where the next one is expected
        for (;;) {
            message request;
            if (!read_head(link, request, steady_ms() + 5000) ||
                !read_body(link, request, false, steady_ms() + 5000))
                return;
            if (!late.empty() && !link.send(std::exchange(late, "")))
                return;
            if (!answer(link, request, late))
                return;
        }
    }

    bool answer(connection& link, const message& request, std::string& late) {
        const std::string id = request.find("X-Cassiarouter-Request-Id");
        const std::string path = request.target();
        if (path == "/healthz")
            return link.send(whole(head(200, "", false), ""));
        if (path == "/cassiarouter/report")
            return link.send(whole(head(200, "", false), "{}"));
        ++answers_;
        const std::string expected = request.find("X-Cassiarouter-Expect-Instance");
        int refusal = id.empty() ? 400 : 0;
        if (!expected.empty() && expected != settings_.id)
            refusal = 421;
        if (refusal == 0 && !take_place())
            refusal = 503;
        if (refusal != 0) {
            ++rejections_;
            const std::string bytes = whole(head(refusal, id, true), "not run\n");
            record.write("runner %s: %s not run, %d", settings_.id.c_str(), id.c_str(), refusal);
            if (repeats_rejection()) {
                late = bytes;
                ++repeated_;
                record.write("runner %s: a second answer for %s will come late",
                             settings_.id.c_str(), id.c_str());
            }
            return link.send(bytes);
        }
        while (!begin_run()) {
            if (link.is_gone()) {
                --waiting_;
                return false;
            }
            sleep_ms(2);
        }
        {
            std::lock_guard<std::mutex> lock(mutex_);
            ++runs_[id];
            at_work_.insert(id);
        }
        record.write("runner %s: runs %s, path %s, behind event %s", settings_.id.c_str(),
                     id.c_str(), path.c_str(), request.find("Last-Event-Id").c_str());
        const bool kept = is_stream(request) ? stream(link, request, id) : plain(link, id);
        {
            std::lock_guard<std::mutex> lock(mutex_);
            at_work_.erase(at_work_.find(id));
        }
        --running_;
        last_end_ = steady_ms();
        record.write("runner %s: %s %s", settings_.id.c_str(), id.c_str(),
                     kept ? "done" : "given up by its sender");
        return kept;
    }

    bool take_place() {
        std::lock_guard<std::mutex> lock(mutex_);
        if (running_ + waiting_ >= settings_.slots + settings_.queue)
            return false;
        ++waiting_;
        return true;
    }
    bool begin_run() {
        std::lock_guard<std::mutex> lock(mutex_);
        if (running_ >= settings_.slots)
            return false;
        --waiting_;
        ++running_;
        return true;
    }

    bool wait_at(connection& link, int ms) {
        for (const std::int64_t until = steady_ms() + ms; steady_ms() < until;) {
            if (link.is_gone())
                return false;
            sleep_ms(std::min<std::int64_t>(5, std::max<std::int64_t>(1, until - steady_ms())));
        }
        return !link.is_gone();
    }

    bool plain(connection& link, const std::string& id) {
        if (!wait_at(link, settings_.work_ms))
            return false;
        const std::string body = "answer to " + id;
        const std::string length = spoils_length();
        if (length.empty())
            return link.send(whole(head(200, id, false), body));
        record.write("runner %s: the answer to %s has wrong bytes, Content-Length: %s",
                     settings_.id.c_str(), id.c_str(), length.c_str());
        return link.send(head(200, id, false) + "Content-Length: " + length + "\r\n\r\n" + body);
    }

    bool stream(connection& link, const message& request, const std::string& id) {
        const std::string behind = request.find("Last-Event-Id");
        if (!link.send(head(200, id, false) + "Content-Type: text/event-stream\r\n"
                                              "Transfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (int i = (behind.empty() ? 0 : std::atoi(behind.c_str())) + 1; i <= settings_.events;
             ++i) {
            if (!wait_at(link, settings_.event_ms))
                return false;
            const std::string event =
                "id: " + std::to_string(i) + "\ndata: " + event_data(id, i) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!link.send(size + event + "\r\n"))
                return false;
        }
        return link.send("0\r\n\r\n");
    }

    runner_settings settings_;
    std::vector<std::string> control_;
    std::int64_t born_;
    int listening_ = -1;
    std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::multiset<std::string> at_work_;
    std::atomic<int> running_{0};
    std::atomic<int> waiting_{0};
    std::atomic<int> acknowledged_{0};
    std::atomic<int> rejections_{0};
    std::atomic<int> repeated_{0};
    std::atomic<int> answers_{0};
    std::atomic<std::int64_t> last_end_{0};
    std::uint64_t sequence_ = 0;
};

inline bool wait_for(const std::function<bool()>& condition, int limit_ms) {
    for (const std::int64_t until = steady_ms() + limit_ms; steady_ms() < until; sleep_ms(50)) {
        if (condition())
            return true;
    }
    return condition();
}

/// The item with this number of a batch job.
inline std::string item_id(const std::string& job, int number) {
    return job + "-" + std::to_string(number);
}

inline std::string job_body(const std::string& job, const std::string& prefix, int items,
                            std::size_t body_bytes = 200) {
    std::string out = "{\"items\":[";
    for (int i = 0; i < items; ++i) {
        const std::string id = item_id(job, i);
        out +=
            std::string(i == 0 ? "" : ",") + "{\"id\":\"" + id + "\",\"path\":\"" + prefix + "3/" +
            id +
            "\",\"headers\":{\"X-Cassiarouter-Model\":\"m\",\"X-Cassiarouter-Tokens\":\"100,20\"},"
            "\"body\":\"" +
            base64(std::string(body_bytes, 'x')) + "\",\"tokens\":120}";
    }
    return out + "]}";
}

struct job_results {
    int status = 0;
    long total = 0;
    std::vector<std::string> ids; ///< of the results, by position
    std::vector<std::string> states;
    std::vector<std::string> texts;
};

/// Reads a batch job's whole list.
inline job_results read_job(const std::string& front, const std::string& host,
                            const std::string& job) {
    job_results out;
    for (;;) {
        const message got = call(
            front, "GET", "/cassiarouter/lots/" + job + "?after=" + std::to_string(out.ids.size()),
            {{"Host", host}}, "", 2500);
        out.status = got.status;
        if (got.status != 200)
            return out;
        out.total = json_number(got.body, "total");
        const std::size_t before = out.ids.size();
        const std::size_t list = got.body.find("\"results\":[");
        std::size_t at = got.body.find("{\"id\":", list);
        while (at != std::string::npos) {
            out.ids.push_back(json_text(got.body, "id", at));
            out.states.push_back(json_text(got.body, "state", at));
            out.texts.push_back(json_text(got.body, "text", at));
            at = got.body.find("{\"id\":", at + 1);
        }
        if (out.ids.size() == before)
            return out;
    }
}

inline std::string route_json(const std::string& name, const std::string& prefix,
                              const std::string& kind, const std::string& service,
                              const std::string& more) {
    return "{\"name\":\"" + name + "\",\"host\":\"shop.example\",\"pathPrefix\":\"" + prefix +
           "\",\"kind\":\"" + kind + "\",\"service\":\"" + service + "\"" + more + "}";
}

inline std::string configuration(long version, const std::vector<std::string>& routes,
                                 const std::vector<std::string>& services) {
    std::string out = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (std::size_t i = 0; i < routes.size(); ++i)
        out += (i == 0 ? "" : ",") + routes[i];
    out += "],\"services\":[";
    for (std::size_t i = 0; i < services.size(); ++i)
        out += (i == 0 ? "" : ",") + services[i];
    return out + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                 "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

inline std::string service_json(const std::string& name, const std::string& more = "") {
    return "{\"name\":\"" + name +
           "\",\"healthPath\":\"/healthz\",\"maxConns\":360,\"protocol\":\"h1\",\"tls\":false" +
           more + "}";
}

/// Whether the case is played with its disruption.
inline bool has_trouble() {
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace review
