import type { WorkClass } from '../common/dispatchMessages.js';

/** One step of an interleaving. Plain data, so that a trace can be kept as JSON lines. */
export type Step =
	| {
			readonly type: 'request';
			readonly team: number;
			readonly queue: number;
			readonly class: WorkClass;
			readonly ms: number;
	  }
	| { readonly type: 'burst'; readonly team: number; readonly count: number }
	| { readonly type: 'cancel-wave'; readonly count: number }
	| { readonly type: 'end'; readonly count: number; readonly report: 'now' | 'lost' | 'late' | 'twice' | 'unknown' }
	| { readonly type: 'restart'; readonly host: number }
	| { readonly type: 'cut'; readonly host: number }
	| { readonly type: 'join'; readonly host: number }
	| { readonly type: 'limit'; readonly team: number; readonly limit: number }
	| { readonly type: 'withdraw-key'; readonly team: number }
	| { readonly type: 'restore-key'; readonly team: number }
	| { readonly type: 'leaving'; readonly host: number }
	| { readonly type: 'live'; readonly host: number }
	| { readonly type: 'advance'; readonly ms: number }
	| { readonly type: 'change-leader'; readonly pauseOld: boolean; readonly entrySilent: boolean }
	| { readonly type: 'resume' };
