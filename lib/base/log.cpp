#include "cassia/base/log.h"

#include "cassia/base/line_budget.h"
#include "cassia/base/line_writer.h"

#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <mutex>
#include <vector>

namespace cassia {

namespace {
namespace blog = boost::log;

std::atomic<log_level> least_level{log_level::info};
std::atomic<std::uint64_t> dropped_lines{0};
constexpr const char* failure_attribute = "Failure";
constexpr mode_t file_mode = 0644;
} // namespace

static const char* level_name(log_level level) {
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

static bool needs_quotes(std::string_view value) {
    return value.empty() || value.find_first_of(" =\"\n\r\t\\") != std::string_view::npos;
}

static void append_value(std::string& line, std::string_view value) {
    if (!needs_quotes(value)) {
        line.append(value);
        return;
    }
    line.push_back('"');
    for (const char c : value) {
        const bool control = static_cast<unsigned char>(c) < 0x20;
        if (c == '"' || c == '\\')
            line.push_back('\\');
        line.push_back(control ? ' ' : c);
    }
    line.push_back('"');
}

// Hands whole lines to the writer; the sink around it lets one thread in at a time.
class line_backend
    : public blog::sinks::basic_formatted_sink_backend<char, blog::sinks::synchronized_feeding> {
public:
    explicit line_backend(int descriptor) : writer_(descriptor) {}
    void consume(const blog::record_view& record, const string_type& line) {
        const blog::value_ref<bool> failure = blog::extract<bool>(failure_attribute, record);
        const bool failed = failure && failure.get();
        writer_.write(line, failed ? line_rank::failure : line_rank::usual);
        dropped_lines.store(writer_.dropped(), std::memory_order_relaxed);
    }

private:
    line_writer writer_;
};

bool start_logs(const std::string& process, log_level least, const std::string& file,
                log_stream stream) {
    int descriptor = stream == log_stream::standard_output ? STDOUT_FILENO : STDERR_FILENO;
    if (!file.empty())
        descriptor = open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode);
    if (descriptor < 0)
        return false;
    using line_sink = blog::sinks::synchronous_sink<line_backend>;
    boost::shared_ptr<line_sink> sink =
        boost::make_shared<line_sink>(boost::make_shared<line_backend>(descriptor));
    namespace expr = blog::expressions;
    sink->set_formatter(expr::stream << "time="
                                     << expr::format_date_time<boost::posix_time::ptime>(
                                            "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                                     << " process=" << process << ' ' << expr::smessage);
    blog::core::get()->remove_all_sinks();
    blog::core::get()->add_sink(sink);
    blog::core::get()->add_global_attribute("TimeStamp", blog::attributes::utc_clock());
    least_level = least;
    return true;
}

std::uint64_t dropped_log_lines() {
    return dropped_lines.load(std::memory_order_relaxed);
}

static void write_line(log_level level, const std::string& text) {
    blog::sources::logger logger;
    logger.add_attribute(failure_attribute,
                         blog::attributes::constant<bool>(level >= log_level::warning));
    if (blog::record record = logger.open_record()) {
        blog::record_ostream stream(record);
        stream << text;
        stream.flush();
        logger.push_record(std::move(record));
    }
}

// Several threads log; the budget is theirs together.
static bool is_within_budget(log_level level, std::string_view event) {
    static std::mutex guard;
    static line_budget budget;
    std::vector<folded_lines> folded;
    bool within = false;
    {
        const std::lock_guard<std::mutex> lock(guard);
        const instant now = monotonic_now();
        folded = budget.folded(now);
        within = budget.take(level, event, now);
    }
    for (const folded_lines& one : folded)
        write_line(log_level::warning, "level=warning event=lines_folded of=" + one.event +
                                           " count=" + std::to_string(one.count));
    return within;
}

log_event::log_event(log_level level, std::string_view event)
    : level_(level), written_(level >= least_level.load(std::memory_order_relaxed) &&
                              is_within_budget(level, event)) {
    if (!written_)
        return;
    line_.append("level=").append(level_name(level)).append(" event=").append(event);
}

log_event& log_event::with(std::string_view key, std::string_view value) {
    if (!written_)
        return *this;
    line_.push_back(' ');
    line_.append(key).push_back('=');
    append_value(line_, value);
    return *this;
}

log_event::~log_event() {
    if (!written_)
        return;
    write_line(level_, line_);
}

} // namespace cassia
