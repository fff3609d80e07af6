/// SHA-256, random ids and stable hashes.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace cassia {

/// SHA-256 of `data` in lower-case hexadecimal.
std::string sha256_hex(std::string_view data);

/// The same of data in several parts, without joining them.
std::string sha256_hex_of_parts(std::initializer_list<std::string_view> parts);

/// HMAC-SHA-256 of `data` in lower-case hexadecimal.
std::string keyed_hash(std::string_view secret, std::string_view data);

/// A hash that is the same in every process and build; not for secrets.
std::uint64_t stable_hash(std::string_view data);

/// 64 random bits from the operating system.
std::uint64_t random_bits();

/// `prefix` followed by 16 random hexadecimal digits.
std::string random_name(std::string_view prefix);

/// Compares without telling by its duration where the first difference is.
bool equal_secrets(std::string_view a, std::string_view b);

} // namespace cassia
