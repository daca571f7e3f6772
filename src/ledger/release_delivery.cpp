#include "ledger/release_delivery.h"

namespace whinpost::ledger {

std::string_view to_string(DeliveryOutcome outcome) {
    switch (outcome) {
        case DeliveryOutcome::acknowledged:
            return "acknowledged";
        case DeliveryOutcome::taken_elsewhere:
            return "taken_elsewhere";
        case DeliveryOutcome::not_acknowledging:
            return "not_acknowledging";
        case DeliveryOutcome::resumed:
            return "resumed";
        case DeliveryOutcome::expired:
            return "expired";
        case DeliveryOutcome::superseded:
            return "superseded";
    }
    return "unknown";
}

void ReleaseDelivery::on_written(ConnectionNumber connection, Nanos now) {
    written_to_.insert(connection);
    if (connection == own_) written_to_own_at_ = now;
}

void ReleaseDelivery::on_connection_lost(ConnectionNumber connection, Nanos now, bool acknowledges) {
    if (connection != own_) return;
    lost_after_transfer_ =
        !acknowledges && written_to_own_at_ != 0 && now - written_to_own_at_ > kTransferTime;
    own_ = kNoConnection;
}

bool ReleaseDelivery::on_acknowledged(ConnectionNumber connection, Nanos now) {
    if (!written_to_.contains(connection)) return false;
    if (connection == own_) return true;
    if (acknowledged_at_ == 0) acknowledged_at_ = now;
    return false;
}

ReleaseDelivery::Verdict ReleaseDelivery::check_age(Nanos now) const {
    if (lost_after_transfer_) return {Step::settle, DeliveryOutcome::not_acknowledging};
    if (acknowledged_at_ != 0 && now - acknowledged_at_ >= kKeptAfterAcknowledgement)
        return {Step::settle, DeliveryOutcome::taken_elsewhere};
    if (now - created_at_ > kKeptFor) return {Step::settle, DeliveryOutcome::expired};
    return {Step::wait, {}};
}

ReleaseDelivery::Verdict ReleaseDelivery::check(Nanos now, const OwnConnection& own) {
    const Verdict by_age = check_age(now);
    if (by_age.step != Step::wait || is_open_to_others() || written_to_own_at_ == 0) return by_age;
    const Nanos waiting_for = now - written_to_own_at_;
    if (waiting_for < (own.acknowledges ? kAcknowledgeTimeout : kTransferTime)) return {Step::wait, {}};
    if (!own.acknowledges && own.last_data_at > written_to_own_at_)
        return {Step::settle, DeliveryOutcome::not_acknowledging};
    own_is_unresponsive_ = true;
    return {Step::write_to_others, {}};
}

}  // namespace whinpost::ledger
