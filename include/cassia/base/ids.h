/// Strong types for the identifiers that cross module borders.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace cassia {

/// A name that can't be mixed up with a name of another kind.
template <class Tag>
class string_id {
public:
    string_id() = default;
    explicit string_id(std::string value) : value_(std::move(value)) {}

    const std::string& str() const { return value_; }
    bool empty() const { return value_.empty(); }

    friend auto operator<=>(const string_id&, const string_id&) = default;
    friend bool operator==(const string_id&, const string_id&) = default;

private:
    std::string value_;
};

/// A number that can't be mixed up with a number of another kind.
template <class Tag>
class number_id {
public:
    constexpr number_id() = default;
    constexpr explicit number_id(std::uint64_t value) : value_(value) {}

    constexpr std::uint64_t value() const { return value_; }

    friend constexpr auto operator<=>(const number_id&, const number_id&) = default;
    friend constexpr bool operator==(const number_id&, const number_id&) = default;

private:
    std::uint64_t value_ = 0;
};

using entry_id = string_id<struct entry_tag>;
using endpoint_id = string_id<struct endpoint_tag>;
using service_id = string_id<struct service_tag>; ///< a model engine's model or a plain service
using zone_id = string_id<struct zone_tag>;
using team_id = string_id<struct team_tag>; ///< the plan's name
/// Of an endpoint's program, not of its weights; empty if it isn't known.
using software_version = string_id<struct software_version_tag>;
using job_id = string_id<struct job_tag>;
using fingerprint = string_id<struct fingerprint_tag>; ///< SHA-256 in hexadecimal
/// Of a part of prompts, which requests may share.
using prompt_part_id = string_id<struct prompt_part_tag>;
/// Digest of a stream's first attempt and its request.
using stream_key = string_id<struct stream_key_tag>;
using peer_address = string_id<struct peer_address_tag>; ///< IP:PORT of a ZeroMQ socket
using http_address = string_id<struct http_address_tag>; ///< IP:PORT of an HTTP socket

using disk_id = number_id<struct disk_tag>;
using group_id = number_id<struct group_tag>;
using term_number = number_id<struct term_tag>;
using exchange_id = number_id<struct exchange_tag>; ///< one HTTP request being served
using call_id = number_id<struct call_tag>;         ///< one HTTP request being made
using timer_id = number_id<struct timer_tag>;
using lookup_id = number_id<struct lookup_tag>;
using trial_id = number_id<struct trial_tag>; ///< of a run of a suspect
using grant_id = number_id<struct grant_tag>; ///< one slot of an endpoint in use

} // namespace cassia

template <class Tag>
struct std::hash<cassia::string_id<Tag>> {
    std::size_t operator()(const cassia::string_id<Tag>& id) const {
        return std::hash<std::string>()(id.str());
    }
};

template <class Tag>
struct std::hash<cassia::number_id<Tag>> {
    std::size_t operator()(const cassia::number_id<Tag>& id) const {
        return std::hash<std::uint64_t>()(id.value());
    }
};
