#include "distribution/head_candidates.h"

#include <algorithm>
#include <tuple>

namespace peridot {

namespace {

constexpr std::size_t most_candidates = 16;
constexpr std::size_t most_tellers = 3;
constexpr milliseconds first_backoff{200};
constexpr milliseconds longest_backoff{10'000};
constexpr unsigned most_doublings = 16;

} // namespace

void head_candidates::offer(std::uint64_t version, std::string_view manifest_hash,
                            std::string_view teller) {
    auto* const candidate = this->add(version, manifest_hash);
    if (candidate == nullptr) {
        return;
    }
    auto& tellers = candidate->tellers;
    if (tellers.size() < most_tellers &&
        std::find(tellers.begin(), tellers.end(), teller) == tellers.end()) {
        tellers.emplace_back(teller);
    }
}

void head_candidates::offer_from_platform(std::uint64_t version, std::string_view manifest_hash) {
    if (auto* const candidate = this->add(version, manifest_hash)) {
        candidate->is_from_platform = true;
    }
}

std::optional<head_candidate> head_candidates::next(steady_time now) const {
    head_candidate const* best = nullptr;
    for (auto const& candidate : this->waiting) {
        bool const is_better =
            best == nullptr || std::tie(candidate.version, candidate.is_from_platform) >
                                   std::tie(best->version, best->is_from_platform);
        if (candidate.retry_at <= now && is_better) {
            best = &candidate;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

std::optional<steady_time> head_candidates::next_due() const {
    auto const first = std::min_element(
        this->waiting.begin(), this->waiting.end(),
        [](auto const& left, auto const& right) { return left.retry_at < right.retry_at; });
    return first == this->waiting.end() ? std::nullopt : std::optional(first->retry_at);
}

void head_candidates::record_failure(std::uint64_t version, std::string_view manifest_hash,
                                     steady_time now, random_source& random) {
    auto* const candidate = this->find(version, manifest_hash);
    if (candidate == nullptr) {
        return;
    }
    auto const bound = std::min(
        longest_backoff, first_backoff * (1U << std::min(candidate->failures, most_doublings)));
    ++candidate->failures;
    // The tellers did not help; those who announce it next are asked at the next attempt.
    candidate->tellers.clear();
    std::uniform_int_distribution<std::int64_t> jitter(bound.count() / 2, bound.count());
    candidate->retry_at = now + milliseconds(jitter(random));
}

void head_candidates::drop_up_to(std::uint64_t held) {
    std::erase_if(this->waiting,
                  [&](head_candidate const& candidate) { return candidate.version <= held; });
}

head_candidate* head_candidates::find(std::uint64_t version, std::string_view manifest_hash) {
    auto const found = std::find_if(
        this->waiting.begin(), this->waiting.end(), [&](head_candidate const& candidate) {
            return candidate.version == version && candidate.manifest_hash == manifest_hash;
        });
    return found == this->waiting.end() ? nullptr : &*found;
}

// When too many wait, the one that failed most often makes room.
head_candidate* head_candidates::add(std::uint64_t version, std::string_view manifest_hash) {
    if (auto* const known = this->find(version, manifest_hash)) {
        return known;
    }
    if (this->waiting.size() >= most_candidates) {
        this->waiting.erase(std::max_element(
            this->waiting.begin(), this->waiting.end(),
            [](auto const& left, auto const& right) { return left.failures < right.failures; }));
    }
    head_candidate fresh;
    fresh.version = version;
    fresh.manifest_hash = manifest_hash;
    return &this->waiting.emplace_back(std::move(fresh));
}

} // namespace peridot
