#include "verbs.h"

namespace cassia::scenario {

static net::raw_call make_call(const net::http_call& call) {
    net::raw_call out;
    out.to = call.to;
    out.connect_timeout = call.progress_timeout;
    out.fresh_connection = call.fresh_connection;
    out.request.method = call.method;
    out.request.target = call.path;
    for (const std::pair<const std::string, std::string>& header : call.headers)
        out.request.fields.set(header.first, header.second);
    if (!call.body.empty() && !out.request.fields.has("Content-Type"))
        out.request.fields.set("Content-Type", call.content_type);
    if (call.fresh_connection)
        out.request.fields.set("Connection", "close");
    out.request.body = call.body;
    return out;
}

static net::http_head make_head(const net::raw_head& head) {
    net::http_head out;
    out.status = head.status;
    for (const net::http_field& field : head.fields.all()) {
        std::string name = field.name;
        for (char& letter : name)
            letter =
                letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
        out.headers[name] = field.value;
    }
    return out;
}

std::uint64_t asker::begin_once(const net::http_call& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::uint64_t id = ++last_;
    calls_[id].is_once = true;
    task_.post([this, id, call] {
        const auto update = [this, id](const std::function<void(pending&)>& change) {
            const std::lock_guard<std::mutex> guard(mutex_);
            change(calls_.at(id));
            changed_.notify_all();
        };
        net::raw_call_hooks hooks;
        hooks.on_head = [update](const net::raw_head& head) {
            update([&head](pending& one) {
                one.got.head = make_head(head);
                one.got.status = head.status;
            });
        };
        hooks.on_piece = [update](std::string_view piece) {
            update([piece](pending& one) { one.got.body.append(piece); });
        };
        hooks.on_end = [update] {
            update([](pending& one) {
                one.got.whole = true;
                one.done = true;
            });
        };
        hooks.on_failure = [update](const net::raw_failure& failed) {
            update([&failed](pending& one) {
                one.got.problem = failed.cause.text;
                one.done = true;
            });
        };
        const call_id started = once_client_->start(make_call(call), std::move(hooks));
        update([started](pending& one) { one.call = started; });
        task_.after(call.progress_timeout, [this, id] { abandon(id); });
    });
    return id;
}

} // namespace cassia::scenario
