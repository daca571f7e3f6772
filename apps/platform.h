// The command `whinpost platform`: runs one placer with the platform's protocol, configured by the
// environment variables GW_NAME, GW_LISTEN and GW_CONFIG and the file that GW_CONFIG names.
#pragma once
#include "log/logger.h"

namespace whinpost::apps {

int platform(log::Level);

}  // namespace whinpost::apps
