#include "cassia/load/batch_phase.h"

#include "cassia/entry/request_text.h"
#include "cassia/standin/answer_text.h"

#include <boost/json.hpp>

#include <set>
#include <utility>

namespace cassia::load {

namespace {
constexpr unsigned connections = 8;
constexpr milliseconds poll_interval(100);
constexpr double us_per_second = 1e6;
constexpr int accepted_status = 202;
} // namespace

batch_phase::batch_phase(net::task& task, const schema::load_settings& settings,
                         std::vector<std::string> targets, std::string name)
    : task_(task), settings_(settings), targets_(std::move(targets)), name_(std::move(name)),
      client_(task, connections) {}

std::string batch_phase::prompt_of(std::uint32_t item) const {
    return "cohort " + name_ + " item " + std::to_string(item);
}

std::string batch_phase::body() const {
    std::string lines;
    for (std::uint32_t item = 0; item < settings_.batch_items(); ++item) {
        const boost::json::object line{{"custom_id", "c" + std::to_string(item)},
                                       {"url", "/v1/completions"},
                                       {"body",
                                        {{"model", settings_.model()},
                                         {"prompt", prompt_of(item)},
                                         {"max_tokens", settings_.batch_max_tokens()}}}};
        lines += boost::json::serialize(line) + "\n";
    }
    return lines;
}

void batch_phase::call(const std::string& method, const std::string& path, const std::string& body,
                       const std::function<void(int status, const std::string& body)>& done) {
    net::http_call out;
    out.method = method;
    out.to = http_address(targets_[next_target_++ % targets_.size()]);
    out.path = path;
    out.headers["Authorization"] = "Bearer " + settings_.key();
    out.body = body;
    out.content_type = "application/jsonl";
    net::fetch(client_, out, [done](const outcome<net::http_answer, net::http_failure>& answer) {
        if (answer)
            done(answer.value().head.status, answer.value().body);
        else
            done(0, answer.error().cause.text);
    });
}

void batch_phase::start(std::function<void()> done) {
    done_ = std::move(done);
    started_ = monotonic_now();
    result_.items = settings_.batch_items();
    call("POST", "/v1/batches", body(), [this](int status, const std::string& text) {
        const entry::json_parse_result parsed = entry::parse_json(text);
        if (status != accepted_status || !parsed.value) {
            finish("submission answered " + std::to_string(status) + ": " + text);
            return;
        }
        result_.job = std::string(parsed.value->at("id").as_string());
        poll();
    });
}

void batch_phase::poll() {
    call("GET", "/v1/batches/" + result_.job, "", [this](int status, const std::string& text) {
        const microseconds passed = monotonic_now() - started_;
        const entry::json_parse_result parsed = entry::parse_json(text);
        if (status == 200 && parsed.value)
            result_.status = std::string(parsed.value->at("status").as_string());
        const bool over = result_.status == "completed" || result_.status == "failed" ||
                          result_.status == "cancelled";
        if (over) {
            result_.seconds = static_cast<double>(passed.count()) / us_per_second;
            result_.items_per_second = static_cast<double>(result_.items) / result_.seconds;
            fetch_results();
            return;
        }
        if (passed > std::chrono::seconds(settings_.batch_wait_s())) {
            finish("the job didn't end in time; last status '" + result_.status + "'");
            return;
        }
        task_.after(poll_interval, [this] { poll(); });
    });
}

void batch_phase::stop() {
    if (!result_.job.empty() && done_)
        call("POST", "/v1/batches/" + result_.job + "/cancel", "", [](int, const std::string&) {});
}

void batch_phase::fetch_results() {
    call("GET", "/v1/batches/" + result_.job + "/results", "",
         [this](int status, const std::string& text) {
             if (status == 200)
                 check(text);
             finish(status == 200 ? "" : "results answered " + std::to_string(status));
         });
}

void batch_phase::check(const std::string& lines) {
    std::set<std::string> seen;
    std::size_t at = 0;
    while (at < lines.size()) {
        const std::size_t end = std::min(lines.find('\n', at), lines.size());
        const entry::json_parse_result parsed =
            entry::parse_json(std::string_view(lines).substr(at, end - at));
        at = end + 1;
        if (!parsed.value || parsed.value->at("status").as_string() != "completed")
            continue;
        const std::string custom_id(parsed.value->at("custom_id").as_string());
        const std::uint32_t item =
            static_cast<std::uint32_t>(std::strtoul(custom_id.c_str() + 1, nullptr, 10));
        const std::string text(
            parsed.value->at("response").at("body").at("choices").at(0).at("text").as_string());
        const bool whole =
            text == standin::answer_text(prompt_of(item), settings_.batch_max_tokens());
        if (whole && seen.insert(custom_id).second)
            ++result_.right;
    }
}

void batch_phase::finish(const std::string& problem) {
    result_.problem = problem;
    if (done_)
        task_.post(std::exchange(done_, nullptr));
}

} // namespace cassia::load
