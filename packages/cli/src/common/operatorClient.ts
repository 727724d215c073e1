import type { BurnReport } from '@chestnutwheel/burn/common/burnReport.js';
import type { ReleaseNote } from '@chestnutwheel/configuration/common/controlRecord.js';
import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import type {
	ExplainAnswer,
	InForceAnswer,
	JobsAnswer,
	NoteAnswer,
	NotesAnswer,
	StatusAnswer,
	SubmitAnswer,
} from '@chestnutwheel/configuration/common/operatorProtocol.js';

/** Calls of the operator interface. Every call fails with an error that carries its kind. */
export interface OperatorClient {
	/** @throws `append-unknown` when the answer was lost, `daemon-unreachable` when nothing was sent */
	submitNote(note: ReleaseNote): Promise<SubmitAnswer>;
	notes(): Promise<NotesAnswer>;
	note(id: string): Promise<NoteAnswer>;
	state(): Promise<FleetState>;
	inForce(offset: number): Promise<InForceAnswer>;
	status(): Promise<StatusAnswer>;
	jobs(): Promise<JobsAnswer>;
	explain(kind: string, name: string): Promise<ExplainAnswer>;
	burn(): Promise<BurnReport>;
	close(): Promise<void>;
}
