#include "sidecar/row_query_handler.h"

#include "mesh/row_replica.h"
#include "sidecar/change_signal.h"
#include "sidecar/row_exchange_message.h"
#include "sidecar/row_page.h"

#include <algorithm>
#include <optional>

namespace peridot {

namespace asio = boost::asio;

class row_query_handler::implementation {
public:
    implementation(asio::io_context& context, row_replica const& copy, state_function state)
        : replica(copy), state_of_copy(std::move(state)), rows_changed(context) {}

    asio::awaitable<void> wait_for_changes(row_query const& query) {
        auto const until = std::chrono::steady_clock::now() + query.max_wait;
        while (std::chrono::steady_clock::now() < until && this->state_of_copy().is_current &&
               !this->has_newer(query)) {
            co_await this->rows_changed.wait(until);
        }
    }

    // Nodes that wait for the same change receive the same page, which is encoded once.
    http_response const& write_page(row_query const& query) {
        auto page = this->page_for(query);
        if (!this->written || this->written->page != page) {
            auto answer = write_row_page(page);
            this->written = {std::move(page), std::move(answer)};
        }
        return this->written->answer;
    }

    row_replica const& replica;
    state_function state_of_copy;
    change_signal rows_changed;

private:
    // The last encoded page and its source.
    struct written_page {
        row_page page;
        http_response answer;
    };

    bool has_newer(row_query const& query) const {
        return std::ranges::any_of(query.held, [this](auto const& entry) {
            return !this->replica.rows_after(entry.first, entry.second).empty();
        });
    }

    row_page page_for(row_query const& query) const {
        auto state = this->state_of_copy();
        row_page page;
        page.covered = std::move(state.covered);
        page.is_current = state.is_current;
        if (query.is_revisions_only) {
            return page;
        }
        for (auto const& [table, revision] : query.held) {
            for (auto const* row : this->replica.rows_after(table, revision)) {
                page.rows.push_back(*row);
            }
        }
        return page;
    }

    std::optional<written_page> written;
};

row_query_handler::row_query_handler(asio::io_context& context, row_replica const& replica,
                                     state_function state)
    : self(std::make_unique<implementation>(context, replica, std::move(state))) {}

row_query_handler::~row_query_handler() = default;

void row_query_handler::notify() {
    this->self->rows_changed.notify();
}

asio::awaitable<http_response> row_query_handler::answer(row_query query) {
    co_await this->self->wait_for_changes(query);
    http_response response = this->self->write_page(query);
    // The clock is not part of the page, which is encoded once for several nodes.
    auto const state = this->self->state_of_copy();
    if (state.store_time && !query.is_revisions_only) {
        add_store_time(response, *state.store_time, state.clock_era);
    }
    co_return response;
}

} // namespace peridot
