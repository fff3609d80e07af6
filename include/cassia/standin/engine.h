/// A stand-in for a model engine: it batches continuously, caches prompt prefixes, knows no
/// priorities, and fails in the ways that tests ask for.
#pragma once

#include "cassia/net/http_server.h"
#include "cassia/net/task.h"
#include "cassia/schema/settings.pb.h"
#include "cassia/standin/announcer.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace cassia::standin {

class engine {
public:
    engine(net::task& task, const schema::standin_settings& settings);

    std::string open();
    /// Announces that it leaves, and ends the task once nothing runs.
    void leave();

private:
    struct stream {
        exchange_id exchange;
        std::string request_id;
        std::string prompt;
        bool chat = false;
        bool streams = false;
        bool cached = false;
        std::uint32_t next = 0; ///< token
        std::uint32_t end = 0;
        bool begun = false;
        bool poison = false; ///< crashes the engine once it has enough tokens
        instant due{};
        std::string text;
    };

    void on_request(exchange_id exchange, const net::http_request& request);
    void complete(exchange_id exchange, const net::http_request& request);
    void order(exchange_id exchange, const net::http_request& request);
    void fault(exchange_id exchange, const net::http_request& request);
    void show_stats(exchange_id exchange);
    void show_cache_events(exchange_id exchange);
    void respond(exchange_id exchange, int status, const boost::json::object& body);
    void gone(exchange_id exchange);

    void admit(instant now);
    void step();
    bool emit(stream& one);
    void crash_if_due(const stream& one) const;
    std::string text_of(const stream& one, std::uint32_t token) const;
    std::string event_of(const stream& one, std::uint32_t token) const;
    void finish(const stream& one);
    microseconds token_time() const;
    microseconds first_token_time(const stream& one) const;
    bool remember_prefix(const std::string& prompt);
    reported_load load() const;

    net::task& task_;
    const schema::standin_settings& settings_;
    std::unique_ptr<net::http_server> server_;
    announcer announcer_;
    std::list<stream> running_;
    std::deque<stream> waiting_;
    std::map<std::string, std::uint32_t> ran_;      ///< starts, by request id
    std::map<std::string, std::uint32_t> ran_text_; ///< starts, by prompt
    std::uint64_t started_ = 0;
    std::uint64_t finished_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint32_t most_running_ = 0;
    std::map<std::uint64_t, std::uint64_t> prefixes_; ///< hash to order of use
    std::uint64_t prefix_uses_ = 0;
    std::uint64_t prefix_hits_ = 0;
    std::uint64_t fence_ = 0;
    boost::json::object loaded_;
    boost::json::array cache_events_;
    double slower_ = 1;
    bool silent_ = false; ///< takes requests and never answers them
    bool breaks_ = false; ///< takes requests and breaks their connections
};

} // namespace cassia::standin
