#include "cassia/load/online_phase.h"

#include "cassia/base/digest.h"
#include "cassia/entry/request_text.h"
#include "cassia/standin/answer_text.h"

#include <boost/json.hpp>

#include <utility>

namespace cassia::load {

namespace {
constexpr unsigned connections = 4096;
constexpr double us_per_second = 1e6;
constexpr int first_failure_status = 400;
} // namespace

online_phase::online_phase(net::task& task, const schema::load_settings& settings,
                           std::vector<std::string> targets, std::uint64_t seed)
    : task_(task), settings_(settings), targets_(std::move(targets)), random_(seed),
      client_(task, connections) {}

void online_phase::start(std::function<void()> done) {
    done_ = std::move(done);
    started_ = monotonic_now();
    next_due_ = started_;
    plan_next(started_);
}

double online_phase::rate_at(instant now) const {
    const std::int64_t ms = std::chrono::duration_cast<milliseconds>(now - started_).count();
    const bool burst =
        settings_.burst_factor() > 1 && ms % settings_.burst_every_ms() < settings_.burst_ms();
    return settings_.rate() * (burst ? settings_.burst_factor() : 1.0);
}

void online_phase::plan_next(instant now) {
    const instant end = started_ + std::chrono::seconds(settings_.seconds());
    while (sending_ && next_due_ <= now) {
        if (next_due_ >= end || settings_.rate() <= 0) {
            sending_ = false;
            result_.seconds = static_cast<double>((now - started_).count()) / us_per_second;
            break;
        }
        send(next_due_);
        std::exponential_distribution<double> gap(rate_at(next_due_));
        next_due_ += microseconds(static_cast<std::int64_t>(gap(random_) * us_per_second) + 1);
    }
    if (!sending_) {
        finish_if_done();
        return;
    }
    task_.after(milliseconds(1), [this] { plan_next(monotonic_now()); });
}

void online_phase::send(instant due) {
    const std::uint64_t id = ++last_id_;
    call& one = calls_[id];
    one.due = due;
    // The prefix is long enough to be what an engine caches; the rest is the call's own.
    constexpr std::size_t prefix_chars = 256;
    const std::uint64_t prefix = random_() % settings_.prefixes();
    one.prompt = "chapter " + std::to_string(prefix) + " ";
    one.prompt.resize(prefix_chars, 'x');
    one.prompt += " question " + std::to_string(settings_.seed()) + "-" + std::to_string(id);
    boost::json::object body{{"model", settings_.model()},
                             {"prompt", one.prompt},
                             {"max_tokens", settings_.max_tokens()},
                             {"stream", settings_.stream()}};
    if (!settings_.adapter().empty())
        body["adapter"] = settings_.adapter();
    net::http_call out;
    out.method = "POST";
    out.to = http_address(targets_[random_() % targets_.size()]);
    out.path = "/v1/completions";
    out.headers["Authorization"] = "Bearer " + settings_.key();
    out.body = boost::json::serialize(body);
    constexpr milliseconds patience(60000);
    out.progress_timeout = patience;
    net::http_call_hooks hooks;
    hooks.on_head = [this, id](const net::http_head& head) { calls_.at(id).status = head.status; };
    hooks.on_piece = [this, id](std::string_view piece) { on_piece(id, piece); };
    hooks.on_end = [this, id] { on_end(id); };
    hooks.on_failure = [this, id](const net::http_failure&) {
        ++result_.failed;
        calls_.erase(id);
        finish_if_done();
    };
    ++result_.sent;
    client_.start(out, std::move(hooks));
}

void online_phase::on_piece(std::uint64_t id, std::string_view piece) {
    call& one = calls_.at(id);
    one.buffer.append(piece);
    if (one.status >= first_failure_status || !settings_.stream())
        return;
    std::size_t end = one.buffer.find("\n\n");
    while (end != std::string::npos) {
        const std::string event = one.buffer.substr(0, end + 2);
        one.buffer.erase(0, end + 2);
        on_event(one, entry::event_data(event));
        end = one.buffer.find("\n\n");
    }
}

void online_phase::on_event(call& one, std::string_view event) {
    if (event == "[DONE]") {
        one.stream_done = true;
        return;
    }
    const instant now = monotonic_now();
    if (one.begun)
        result_.between_tokens.add(now - one.last_token);
    else
        result_.first_token.add(now - one.due);
    one.begun = true;
    one.last_token = now;
    const entry::json_parse_result parsed = entry::parse_json(event);
    if (!parsed.value || !parsed.value->is_object())
        return;
    const boost::json::value* choices = parsed.value->as_object().if_contains("choices");
    if (choices != nullptr)
        one.text += std::string(choices->at(0).at("text").as_string());
}

void online_phase::on_end(std::uint64_t id) {
    call one = std::move(calls_.at(id));
    calls_.erase(id);
    if (one.status >= first_failure_status) {
        ++result_.refused;
        const entry::json_parse_result parsed = entry::parse_json(one.buffer);
        const bool coded = parsed.value && parsed.value->is_object() &&
                           parsed.value->as_object().contains("error");
        ++result_.refusals[coded ? std::string(parsed.value->at("error").at("code").as_string())
                                 : "status " + std::to_string(one.status)];
        finish_if_done();
        return;
    }
    if (!settings_.stream()) {
        const entry::json_parse_result parsed = entry::parse_json(one.buffer);
        if (parsed.value && parsed.value->is_object())
            one.text = std::string(parsed.value->at("choices").at(0).at("text").as_string());
        one.stream_done = true;
    }
    const bool right =
        one.stream_done && (!settings_.check_answers() ||
                            one.text == standin::answer_text(one.prompt, settings_.max_tokens()));
    ++result_.answered;
    result_.wrong += right ? 0 : 1;
    result_.whole.add(monotonic_now() - one.due);
    finish_if_done();
}

void online_phase::finish_if_done() {
    if (sending_ || !calls_.empty() || !done_)
        return;
    const std::function<void()> done = std::exchange(done_, nullptr);
    task_.post(done);
}

} // namespace cassia::load
