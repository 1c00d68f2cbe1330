#include "limits/limit_message.h"

#include <limit_message.pb.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridot {

namespace {

constexpr double largest_rate = 1e9;
constexpr std::uint32_t longest_milliseconds = 60000;
constexpr std::size_t longest_instance = 128;

std::uint32_t bounded_milliseconds(milliseconds time) {
    auto const count = std::clamp<std::int64_t>(time.count(), 0, longest_milliseconds);
    return static_cast<std::uint32_t>(count);
}

void write(limit_demand const& demand, wire::limit_demand& out) {
    out.set_key(demand.key);
    out.set_rate(static_cast<float>(demand.rate));
    out.set_concurrency(demand.concurrency);
    out.set_weight(demand.weight == 1 ? 0 : demand.weight);
    out.set_held_lease(demand.held_lease);
    out.set_held_rate(static_cast<float>(demand.held_rate));
    out.set_held_concurrency(demand.held_concurrency);
    out.set_held_milliseconds(bounded_milliseconds(demand.held_time_left));
}

void write(limit_share const& share, wire::limit_share& out) {
    out.set_key(share.key);
    out.set_lease(share.lease);
    out.set_rate(static_cast<float>(share.rate));
    out.set_burst(static_cast<float>(share.burst));
    out.set_concurrency(share.concurrency);
    out.set_milliseconds(bounded_milliseconds(share.duration));
}

limit_demand read(wire::limit_demand const& in) {
    return {in.key(),
            in.rate(),
            in.concurrency(),
            std::max(1U, in.weight()),
            in.held_lease(),
            in.held_rate(),
            in.held_concurrency(),
            milliseconds(in.held_milliseconds())};
}

limit_share read(wire::limit_share const& in) {
    return {in.key(),   in.lease(),       in.rate(),
            in.burst(), in.concurrency(), milliseconds(in.milliseconds())};
}

bool is_valid_rate(double rate) {
    return std::isfinite(rate) && rate >= 0.0 && rate <= largest_rate;
}

bool is_valid(wire::limit_demand const& in) {
    return is_valid_rate(in.rate()) && is_valid_rate(in.held_rate()) &&
           in.held_milliseconds() <= longest_milliseconds;
}

bool is_valid(wire::limit_share const& in) {
    return is_valid_rate(in.rate()) && is_valid_rate(in.burst()) &&
           in.milliseconds() <= longest_milliseconds;
}

bool is_valid(wire::limit_message const& in) {
    auto const valid = [](auto const& entry) { return is_valid(entry); };
    return !in.instance().empty() && in.instance().size() <= longest_instance &&
           std::all_of(in.demands().begin(), in.demands().end(), valid) &&
           std::all_of(in.shares().begin(), in.shares().end(), valid);
}

/// Collects entries into datagrams and starts a new one when the next entry does not fit.
class datagram_writer {
public:
    explicit datagram_writer(limit_message const& message) : source(message) { this->begin(); }

    template<typename Entry, typename List>
    void add(Entry const& entry, List* (wire::limit_message::*list)()) {
        write(entry, *(this->current.*list)()->Add());
        if (this->current.ByteSizeLong() > largest_limit_datagram && this->entries > 0) {
            (this->current.*list)()->RemoveLast();
            this->end();
            this->begin();
            write(entry, *(this->current.*list)()->Add());
        }
        ++this->entries;
    }

    std::vector<std::string> finish() {
        if (this->entries > 0) {
            this->end();
        }
        return std::move(this->datagrams);
    }

private:
    void begin() {
        this->current.Clear();
        this->entries = 0;
        this->current.set_instance(this->source.instance);
        this->current.set_incarnation(this->source.incarnation);
        this->current.set_sequence(this->source.sequence + this->datagrams.size());
    }

    void end() { this->datagrams.push_back(this->current.SerializeAsString()); }

    limit_message const& source;
    wire::limit_message current;
    std::size_t entries = 0;
    std::vector<std::string> datagrams;
};

} // namespace

std::vector<std::string> encode_limit_message(limit_message const& message) {
    datagram_writer writer(message);
    for (auto const& demand : message.demands) {
        writer.add(demand, &wire::limit_message::mutable_demands);
    }
    for (auto const& share : message.shares) {
        writer.add(share, &wire::limit_message::mutable_shares);
    }
    return writer.finish();
}

result<limit_message> decode_limit_message(std::string_view bytes) {
    wire::limit_message in;
    bool const is_parsed = bytes.size() <= largest_limit_datagram &&
                           in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    if (!is_parsed || !is_valid(in)) {
        return error{result_code::datagram_malformed, "the bytes are no limit message"};
    }
    limit_message message{in.instance(), in.incarnation(), in.sequence(), {}, {}};
    for (auto const& demand : in.demands()) {
        message.demands.push_back(read(demand));
    }
    for (auto const& share : in.shares()) {
        message.shares.push_back(read(share));
    }
    return message;
}

} // namespace peridot
