#include "random_endpoint.h"

namespace cassia::gateway {

namespace {
constexpr int events_of_a_stream = 6;
constexpr milliseconds event_interval(6);
} // namespace

std::string make_response(const std::string& status, const std::string& request,
                          const std::string& extra, const std::string& body) {
    std::string bytes = "HTTP/1.1 " + status + "\r\nKeep-Alive: timeout=5\r\n" + extra;
    if (!request.empty())
        bytes += "Cassia-Request-Id: " + request + "\r\n";
    return bytes + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

static std::string field_of(std::string_view head, const std::string& name) {
    const std::string start = "\r\n" + name + ": ";
    const std::size_t begin = head.find(start);
    if (begin == std::string_view::npos)
        return "";
    const std::size_t value = begin + start.size();
    return std::string(head.substr(value, head.find("\r\n", value) - value));
}

static std::string chunk(const std::string& text) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string size;
    for (std::size_t left = text.size(); left > 0; left /= 16)
        size.insert(size.begin(), digits[left % 16]);
    return size + "\r\n" + text + "\r\n";
}

random_endpoint::random_endpoint(net::task& owner, int number, std::uint64_t seed,
                                 fleet_record& record)
    : owner_(owner), random_(seed * 16 + static_cast<std::uint64_t>(number)), record_(record),
      name_(std::to_string(number)) {
    net::tcp_hooks hooks;
    hooks.on_accepted = [this](net::connection_id id) {
        connections_[id];
        if (frozen_)
            sockets_->pause_reading(id);
    };
    hooks.on_connected = [](net::connection_id) {};
    hooks.on_bytes = [this](net::connection_id id, std::string_view bytes) { on_bytes(id, bytes); };
    hooks.on_closed = [this](net::connection_id id, bool) { connections_.erase(id); };
    sockets_ = std::make_unique<net::tcp_connections>(owner, net::tcp_settings(), hooks);
    REQUIRE(sockets_->listen(http_address(address_of(number))));
}

random_endpoint::~random_endpoint() {
    *is_alive_ = false;
}

void random_endpoint::later(milliseconds most, std::function<void()> action) {
    owner_.after(milliseconds(number(static_cast<int>(most.count()))),
                 [alive = is_alive_, action = std::move(action)] {
                     if (*alive)
                         action();
                 });
}

void random_endpoint::on_bytes(net::connection_id id, std::string_view bytes) {
    connections_[id].unread.append(bytes);
    for (;;) {
        auto found = connections_.find(id);
        if (found == connections_.end())
            return;
        std::string& unread = found->second.unread;
        const std::size_t head_size = unread.find("\r\n\r\n");
        if (head_size == std::string::npos)
            return;
        const std::string head = unread.substr(0, head_size + 2);
        unread.erase(0, head_size + 4);
        parsed_request request;
        request.id = field_of(head, "Cassia-Request-Id");
        const std::size_t target = head.find(' ') + 1;
        request.target = head.substr(target, head.find(' ', target) - target);
        request.copy = field_of(head, "Kv-From");
        const std::string last = field_of(head, "Last-Event-Id");
        request.last_event = last.empty() ? 0 : std::stoi(last);
        if (moves_run(request.target))
            hand_over(id, request.target.substr(6));
        else
            respond(id, request);
    }
}

void random_endpoint::respond(net::connection_id id, const parsed_request& request) {
    if (!frozen_ && chance(0.02))
        freeze();
    write_late_copies(id, request);
    if (chance(0.03)) {
        // The kept connection ends as the request arrives.
        count("closed_on_arrival");
        break_off(id);
    } else if (chance(rejected_share)) {
        reject(id, request);
    } else {
        run(id, request);
    }
}

void random_endpoint::reject(net::connection_id id, const parsed_request& request) {
    const std::vector<std::string> proved = {"503 Service Unavailable", "429 Too Many Requests",
                                             "421 Misdirected Request"};
    const std::vector<std::string> unproved = {"503 Service Unavailable", "429 Too Many Requests",
                                               "408 Request Timeout", "421 Misdirected Request"};
    const bool states = chance(0.85);
    const std::string status = states ? proved[static_cast<std::size_t>(number(2))]
                                      : unproved[static_cast<std::size_t>(number(3))];
    count(states ? "rejected" : "rejected_unproved");
    if (states || status.starts_with("421"))
        count("proved_not_run");
    const std::string body(chance(0.2) ? 2000 : 0, 'x');
    write_response(
        id,
        make_response(status, request.id,
                      std::string("Cassia-Stamp: s\r\n") + (states ? "Cassia-Not-Run: 1\r\n" : ""),
                      body),
        true);
}

void random_endpoint::note_run(const parsed_request& request) {
    if (request.copy.empty()) {
        ++record_.runs[request.id];
        count("runs");
        return;
    }
    count(record_.copies[request.copy] == request.id ? "copies_continued" : "foreign_copies");
    if (!record_.used_copies.insert(request.copy).second)
        ++record_.runs[request.id];
}

void random_endpoint::run(net::connection_id id, const parsed_request& request) {
    if (!request.copy.empty() && record_.used_copies.count(request.copy) > 0 && chance(0.5)) {
        reject(id, request);
        return;
    }
    note_run(request);
    if (chance(0.03)) {
        count("broke_before_head");
        later(milliseconds(20), [this, id] { break_off(id); });
    } else if (chance(0.02)) {
        count("silent");
    } else if (chance(0.04)) {
        count("run_then_refused");
        const std::vector<std::string> statuses = {"503 Service Unavailable",
                                                   "429 Too Many Requests", "408 Request Timeout"};
        write_response(id,
                       make_response(statuses[static_cast<std::size_t>(number(2))], request.id,
                                     "Cassia-Stamp: s\r\n", "failed"),
                       true);
    } else if (chance(0.04)) {
        count("run_then_500");
        ++record_.sent_statuses[request.id][500];
        write_response(id, make_response("500 Error", request.id, "Cassia-Stamp: s\r\n", "failed"),
                       true);
    } else if (runs_items) {
        run_item(id, request);
    } else if (streams) {
        run_stream(id, request);
    } else {
        run_call(id, request);
    }
}

void random_endpoint::run_item(net::connection_id id, const parsed_request& request) {
    const bool is_impossible = request.id.starts_with("bad");
    if (!is_impossible && !request.id.starts_with("fails")) {
        run_stream(id, request);
        return;
    }
    ++record_.sent_statuses[request.id][is_impossible ? 422 : 500];
    write_response(id,
                   make_response(is_impossible ? "422 Unprocessable" : "500 Error", request.id,
                                 "Cassia-Stamp: s\r\n", "failed"),
                   true);
}

void random_endpoint::run_call(net::connection_id id, const parsed_request& request) {
    const std::string bytes =
        make_response("200 OK", request.id, "Cassia-Stamp: s\r\n", std::string(200, 'y'));
    // Some of them are late enough to be hedged.
    later(milliseconds(chance(0.1) ? 400 : 8), [this, id, bytes] {
        if (connections_.count(id) == 0)
            return;
        if (chance(0.04)) {
            count("broke_within_response");
            sockets_->write(id, bytes.substr(0, static_cast<std::size_t>(
                                                    number(static_cast<int>(bytes.size()) - 1))));
            break_off(id);
            return;
        }
        write_response(id, bytes, true);
    });
}

void random_endpoint::run_stream(net::connection_id id, const parsed_request& request) {
    auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    found->second.run = std::make_unique<active_run>();
    found->second.run->request = request.id;
    found->second.run->next_event = request.last_event + 1;
    const std::string head = "HTTP/1.1 200 OK\r\nCassia-Stamp: s\r\nKeep-Alive: timeout=5\r\n"
                             "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                             "Cassia-Request-Id: " +
                             request.id + "\r\n\r\n";
    if (runs_items) {
        found->second.run->number = record_.item_runs.size();
        found->second.run->written = head;
        // A response without its last event can't be told from a whole one.
        const bool has_more = request.last_event + 1 < events_of_a_stream;
        if (request.last_event > 0 && has_more && chance(0.4)) {
            count("events_left_out");
            ++found->second.run->next_event;
        }
        record_.item_runs.push_back({request.id, request.last_event, name_});
    }
    write_parts(id, head);
    const std::string name = request.id;
    owner_.after(milliseconds(50), [this, alive = is_alive_, id, name] {
        if (*alive)
            next_event(id, name);
    });
}

void random_endpoint::next_event(net::connection_id id, const std::string& request) {
    auto found = connections_.find(id);
    if (found == connections_.end() || !found->second.run || found->second.run->request != request)
        return;
    active_run& run = *found->second.run;
    if (chance(0.01)) {
        count("broke_within_stream");
        sockets_->write(id, "20\r\nid: ");
        break_off(id);
        return;
    }
    if (run.next_event > events_of_a_stream) {
        if (runs_items)
            found->second.sent.push_back(run.written + "0\r\n\r\n");
        found->second.run.reset();
        write_response(id, "0\r\n\r\n", true);
        return;
    }
    const std::string event = std::to_string(run.next_event++);
    const std::string data =
        runs_items ? request + " " + event + " " + std::to_string(run.number) : event;
    const std::string bytes = chunk("id: " + event + "\ndata: " + data + "\n\n");
    if (runs_items)
        run.written += bytes;
    sockets_->write(id, bytes);
    milliseconds pause = event_interval;
    if (chance(0.06)) {
        count("stalls");
        pause = milliseconds(150 + number(500));
    }
    owner_.after(pause, [this, alive = is_alive_, id, request] {
        if (*alive)
            next_event(id, request);
    });
}

bool random_endpoint::stop_run(const std::string& request) {
    for (std::pair<const net::connection_id, connection>& one : connections_) {
        if (!one.second.run || one.second.run->request != request)
            continue;
        const net::connection_id id = one.first;
        one.second.run.reset();
        later(milliseconds(40), [this, id] { break_off(id); });
        return true;
    }
    return false;
}

void random_endpoint::hand_over(net::connection_id id, const std::string& request) {
    count("moves_ordered");
    if (chance(0.15)) {
        count("moves_refused");
        const std::vector<std::string> statuses = {"409 Conflict", "503 Service Unavailable",
                                                   "404 Not Found"};
        sockets_->write(
            id, make_response(statuses[static_cast<std::size_t>(number(2))], "", "", "no copy"));
        return;
    }
    if (!stop_run(request)) {
        count("moves_without_run");
        sockets_->write(id, make_response("404 Not Found", "", "", ""));
        return;
    }
    if (chance(0.15)) {
        count("moves_lost");
        break_off(id);
        return;
    }
    const std::string handle = name_ + "h" + std::to_string(record_.copies.size());
    record_.copies[handle] = request;
    const bool copied = chance(0.75);
    count(copied ? "moves_copied" : "moves_not_copied");
    const std::string bytes =
        make_response(copied ? "200 OK" : "503 Service Unavailable", "", "", "handle=" + handle);
    later(milliseconds(chance(0.3) ? 200 : 5), [this, id, bytes] {
        if (connections_.count(id) > 0)
            write_parts(id, bytes);
    });
}

void random_endpoint::write_late_copies(net::connection_id id, const parsed_request& request) {
    if (chance(0.01)) {
        count("copies_without_id");
        sockets_->write(id, make_response("503 Service Unavailable", "",
                                          "Cassia-Stamp: s\r\nCassia-Not-Run: 1\r\n", ""));
        return;
    }
    auto found = connections_.find(id);
    if (found == connections_.end() || found->second.sent.empty() || !chance(0.4))
        return;
    const std::vector<std::string>& sent = found->second.sent;
    for (int left = chance(0.1) ? 2 : 1; left > 0; --left) {
        const std::string& copy =
            sent[static_cast<std::size_t>(number(static_cast<int>(sent.size()) - 1))];
        count(field_of(copy, "Cassia-Request-Id") == request.id ? "copies_of_own" : "copies");
        sockets_->write(id, copy);
    }
}

void random_endpoint::write_response(net::connection_id id, const std::string& bytes, bool keep) {
    auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    if (bytes.rfind("HTTP", 0) == 0)
        found->second.sent.push_back(bytes);
    write_parts(id, bytes);
    if (!keep || !chance(0.05))
        return;
    // Perhaps just as the next request is sent.
    count("idle_closed");
    later(milliseconds(40), [this, id] {
        if (connections_.count(id) > 0 && !connections_.at(id).run)
            break_off(id);
    });
}

void random_endpoint::write_parts(net::connection_id id, const std::string& bytes) {
    if (!chance(0.1)) {
        sockets_->write(id, bytes);
        return;
    }
    count("in_two_parts");
    const std::size_t first = static_cast<std::size_t>(number(static_cast<int>(bytes.size()) - 1));
    sockets_->write(id, bytes.substr(0, first));
    owner_.after(milliseconds(4), [this, alive = is_alive_, id, rest = bytes.substr(first)] {
        if (*alive)
            sockets_->write(id, rest);
    });
}

void random_endpoint::break_off(net::connection_id id) {
    connections_.erase(id);
    if (chance(0.5))
        sockets_->close(id);
    else
        sockets_->reset(id);
}

// What arrives meanwhile is read later, also if its sender has given it up.
void random_endpoint::freeze() {
    count("freezes");
    frozen_ = true;
    for (const std::pair<const net::connection_id, connection>& one : connections_)
        sockets_->pause_reading(one.first);
    owner_.after(milliseconds(100 + number(500)), [this, alive = is_alive_] {
        if (!*alive)
            return;
        frozen_ = false;
        std::vector<net::connection_id> ids;
        for (const std::pair<const net::connection_id, connection>& one : connections_)
            ids.push_back(one.first);
        for (const net::connection_id id : ids)
            sockets_->resume_reading(id);
    });
}

} // namespace cassia::gateway
