#include "output_buffer.h"

#include <algorithm>
#include <utility>

namespace cassia::net {

namespace {
// Larger blocks are freed later, smaller ones cost more allocations and calls to send.
constexpr std::size_t block_bytes = 32UL * 1024;
} // namespace

void output_buffer::append(std::string_view bytes) {
    size_ += bytes.size();
    while (!bytes.empty()) {
        const bool has_room =
            !blocks_.empty() && !blocks_.back().shared && blocks_.back().own.size() < block_bytes;
        if (!has_room)
            blocks_.emplace_back();
        std::string& last = blocks_.back().own;
        const std::size_t part = std::min(bytes.size(), block_bytes - last.size());
        // Strings grow by doubling: the capacity of a full block is its size.
        if (last.size() + part > block_bytes / 2)
            last.reserve(block_bytes);
        last.append(bytes.substr(0, part));
        bytes.remove_prefix(part);
    }
}

void output_buffer::append_shared(std::shared_ptr<const std::string> bytes) {
    if (bytes->empty())
        return;
    size_ += bytes->size();
    blocks_.push_back({"", std::move(bytes)});
}

std::string_view output_buffer::front() const {
    if (blocks_.empty())
        return {};
    const block& first = blocks_.front();
    const std::string_view bytes = first.shared ? *first.shared : first.own;
    return bytes.substr(sent_of_front_);
}

void output_buffer::consume(std::size_t bytes) {
    size_ -= bytes;
    while (bytes > 0) {
        const std::size_t left = front().size();
        if (bytes < left) {
            sent_of_front_ += bytes;
            return;
        }
        bytes -= left;
        sent_of_front_ = 0;
        blocks_.pop_front();
    }
}

void output_buffer::clear() {
    blocks_.clear();
    sent_of_front_ = 0;
    size_ = 0;
}

} // namespace cassia::net
