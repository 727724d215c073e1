/** Windows of the report, from the shortest to the longest. */
export const burnWindows = { '5 min': 5, '1 h': 60, '6 h': 360, '3 d': 4_320 } as const;

/** Name of a window. */
export type BurnWindowName = keyof typeof burnWindows;

/** Alarms of the multi-window method: both windows must burn faster than the threshold. */
export const burnAlarms = {
	// 14.4 times spends 2 % of the budget of 30 days in an hour.
	fast: { windows: ['5 min', '1 h'], threshold: 14.4 },
	// Burning faster than 1 over three days does not hold the objective.
	slow: { windows: ['6 h', '3 d'], threshold: 1 },
} as const satisfies Record<string, { windows: readonly BurnWindowName[]; threshold: number }>;

/** Name of an alarm. */
export type BurnAlarmName = keyof typeof burnAlarms;
