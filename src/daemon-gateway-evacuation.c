#include <jansson.h>
#include <string.h>

#include "daemon-gateway-feed-int.h"

void
HrGatewayFeed_ApplyEvacuationItem(HrGatewayFeed *feed, const HrStoreItem *item,
                                  bool is_change)
{
    const char *zone = item->key + strlen(HR_PLATFORM_EVACUATION_PREFIX);
    bool evacuated = item->value != NULL;
    bool applied =
        HrEvacuation_IsValidZone(zone) &&
        (is_change
             ? HrEvacuation_ApplyChange(&feed->evacuation, zone, evacuated)
             : HrZoneSet_Set(&feed->routes.read_zones, zone, evacuated));

    if (!applied) {
        HrLog_Write(feed->gateway->log, HR_LOG_ERROR, "evacuation_malformed",
                    "{s:s,s:I}", "key", item->key, "revision",
                    (json_int_t)item->revision);
        HrCounters_Add(&feed->gateway->counters, HR_COUNTER_config_alarms, 1);
    }
}

/* Logs the zones of a set that the other one lacks. */
static void
log_difference(const HrGatewayFeed *feed, const char *event,
               const HrZoneSet *zones, const HrZoneSet *other,
               const char *source)
{
    uint32_t i;

    for (i = 0; i < zones->count; i++) {
        if (!HrZoneSet_Contains(other, zones->names[i])) {
            HrLog_Write(feed->gateway->log, HR_LOG_INFO, event,
                        "{s:s,s:s,s:I,s:I}", "zone", zones->names[i], "source",
                        source, "era", (json_int_t)feed->evacuation.era,
                        "revision", (json_int_t)feed->evacuation.revision);
        }
    }
}

void
HrGatewayFeed_UpdateEvacuation(HrGatewayFeed *feed, const char *source)
{
    const char *names[HR_ZONES_MAX];
    HrZoneSet zones;
    uint32_t i;

    HrEvacuation_GetZones(&feed->evacuation, &zones,
                          HrGatewayFeed_GetNowNs(feed));
    for (i = 0; i < zones.count; i++) {
        names[i] = zones.names[i];
    }
    for (i = 0; i < zones.count &&
                HrZoneSet_Contains(&feed->evacuated, zones.names[i]);
         i++) {
    }
    if (i == zones.count && zones.count == feed->evacuated.count) {
        return;
    }
    if (!HrServerSet_SetEvacuated(feed->gateway->servers, names,
                                  zones.count)) {
        return;
    }
    log_difference(feed, "zone_evacuated", &zones, &feed->evacuated, source);
    log_difference(feed, "zone_returned", &feed->evacuated, &zones, source);
    feed->evacuated = zones;
    HrGatewayPeers_AnnounceStatus(feed->gateway->peers);
}

void
HrGatewayFeed_FillEvacuation(const HrGatewayFeed *feed,
                             HrEvacuationReport *report)
{
    if (feed != NULL) {
        HrEvacuation_FillReport(&feed->evacuation, report,
                                HrGatewayFeed_GetNowNs(feed));
    }
}

void
HrGatewayFeed_ApplyPeerEvacuation(HrGatewayFeed *feed, const char *source,
                                  const HrEvacuationReport *report)
{
    HrEvacuation_ApplyReport(&feed->evacuation, report,
                             HrGatewayFeed_GetNowNs(feed));
    HrGatewayFeed_UpdateEvacuation(feed, source);
}

uint32_t
HrGatewayFeed_CountEvacuated(const HrGatewayFeed *feed)
{
    return feed != NULL ? feed->evacuated.count : 0;
}
