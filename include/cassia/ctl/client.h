/// Calls of the operator's tool: one at a time, at the first entry that answers.
#pragma once

#include "cassia/net/http_client.h"
#include "cassia/net/task.h"
#include "cassia/schema/settings.pb.h"

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cassia::ctl {

struct answer {
    int status = 0; ///< 0: no entry answered
    std::string text;
    std::string entry; ///< that answered
    /// The text as JSON; null if it isn't.
    boost::json::value json() const;
};

enum class identity { operator_token, caller_key };

struct question {
    std::string method = "GET";
    std::string path;
    std::string body;
    std::map<std::string, std::string> headers;
    identity as = identity::operator_token;
};

class client {
public:
    explicit client(const schema::ctl_settings& settings);

    /// Asks each entry in turn until one answers with less than 500.
    answer ask(const question& asked);
    /// Asks one entry.
    answer ask_entry(const std::string& entry, const question& asked);
    /// Entries that live, as the first that answers lists them.
    std::vector<std::string> live_entries();

private:
    const schema::ctl_settings& settings_;
    net::task task_;
    net::http_client http_;
};

} // namespace cassia::ctl
